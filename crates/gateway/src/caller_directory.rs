//! Directory in which callers look up the addresses of instances.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, MonotonicTime, RegionName};
use hawthornquay_traffic::{CallerAddresses, CallerProximity};

use crate::Gateway;

impl<C, H> Gateway<C, H> {
    /// Returns the addresses to which callers of `host` in a region and failure domain may connect.
    ///
    /// Callers are sent out of their region only to home regions of the host's routes.
    pub fn caller_addresses(
        &self,
        host: &str,
        region: &RegionName,
        domain: &DomainName,
    ) -> Vec<SocketAddr> {
        let now = hawthornquay_clock::now();
        let configuration = self.operators.lock().configuration().cloned();
        // Without a configuration the home regions are unknown, so callers stay in their region.
        let home_regions = configuration.map(|configuration| {
            let routes = &configuration.route_index;
            self.home_demand.lock().home_regions(routes, host)
        });
        let mut found = self.instances.lock().addresses_for(
            now,
            &self.id.name,
            region,
            domain,
            home_regions.as_ref(),
        );
        let own = &self.settings;
        let is_near = own.region == *region;
        let own_region = std::iter::once(&own.region).collect();
        let may_name_own =
            is_near || home_regions.is_some_and(|homes| !homes.best_of(&own_region).is_empty());
        if found.addresses.is_empty() && may_name_own && self.is_ready() {
            found = CallerAddresses::new(
                if is_near {
                    CallerProximity::Region
                } else {
                    CallerProximity::OtherRegion
                },
                [&self.to_listed_instance()].into_iter(),
            );
        }
        self.report_caller_addresses(now, region, domain, &found);
        found.addresses
    }

    /// Counts an answer of the directory, and logs it if it sends callers out of their region or
    /// names no instance.
    fn report_caller_addresses(
        &self,
        now: MonotonicTime,
        region: &RegionName,
        domain: &DomainName,
        found: &CallerAddresses,
    ) {
        self.metrics
            .count_directory_answer(found.proximity.as_str());
        match found.proximity {
            CallerProximity::Domain | CallerProximity::Region => return,
            CallerProximity::OtherRegion | CallerProximity::Nowhere => {}
        }
        if let Some(suppressed) = self.log.directory_log_limit.admit_line(now) {
            let regions: Vec<&str> = found.regions.iter().map(RegionName::as_str).collect();
            slog::info!(self.log.membership, "no usable instance in the region of a caller";
                "region" => region.as_str(),
                "domain" => domain.as_str(),
                "named_regions" => regions.join(", "),
                "addresses" => found.addresses.len(),
                "suppressed" => suppressed,
            );
        }
    }
}
