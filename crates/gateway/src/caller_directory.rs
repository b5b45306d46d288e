//! Directory in which callers look up the addresses of instances.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, MonotonicTime, RegionName};
use hawthornquay_traffic::{CallerAddresses, CallerProximity};

use crate::Gateway;

impl<C, H> Gateway<C, H> {
    /// Returns the addresses to which callers in a region and failure domain may connect.
    pub fn caller_addresses(&self, region: &RegionName, domain: &DomainName) -> Vec<SocketAddr> {
        let now = hawthornquay_clock::now();
        let mut found = self
            .instances
            .lock()
            .addresses_for(now, &self.id.name, region, domain);
        if self.is_leaving() {
            found
                .addresses
                .retain(|address| *address != self.settings.callers);
        } else if found.addresses.is_empty() && self.is_ready() {
            found.addresses.push(self.settings.callers);
            found.regions.push(self.settings.region.clone());
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
