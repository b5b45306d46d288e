//! Latest reports of all regions.

use std::time::Duration;

use hawthornquay_decisions::{Map, MonotonicTime, RegionName, ServiceName, Set};

use crate::{FleetDemand, PREFILL_TOKENS_PER_MS, RegionReport, ServiceReport};

/// Maximum age of a region's load report for requests to be forwarded there.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_500);

/// Maximum age of a region's load report at an instance that is leaving. It receives no reports any
/// more, and without the last ones it could forward none of the requests that it still holds.
const MAX_LOAD_AGE_WHEN_LEAVING: Duration = Duration::from_secs(10);

/// Maximum age of a region's demand report for the fleet demand to be complete.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(2_000);

/// Backoff after no instance of a region could be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct Region {
    report: RegionReport,
    reported_at: MonotonicTime,
    /// Prompt tokens forwarded to each service since the report.
    sent_tokens: Map<ServiceName, u64>,
    /// Prompt tokens of the smallest request to each service that was refused since the report.
    refused_tokens: Map<ServiceName, u64>,
    backoff_until: MonotonicTime,
}

/// Latest report of each region, adjusted for the requests forwarded and refused since.
#[derive(Default)]
pub struct RegionTable {
    regions: Map<RegionName, Region>,
    is_leaving: bool,
}

impl RegionTable {
    /// Replaces the report of a region by one made at `reported_at`, unless it is older.
    pub fn apply_report(
        &mut self,
        name: &RegionName,
        reported_at: MonotonicTime,
        report: RegionReport,
    ) {
        let region = self.regions.entry(name.clone()).or_default();
        if reported_at <= region.reported_at && region.reported_at != MonotonicTime(0) {
            return;
        }
        region.report = report;
        region.reported_at = reported_at;
        region.sent_tokens.clear();
        region.refused_tokens.clear();
    }

    /// Records that this instance is leaving, so that it receives no further reports.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the latest report of each region with its time.
    pub fn reports(&self) -> impl Iterator<Item = (&RegionName, MonotonicTime, &RegionReport)> {
        self.regions
            .iter()
            .map(|(name, region)| (name, region.reported_at, &region.report))
    }

    /// Records that a request with `tokens` prompt tokens is forwarded to a region.
    pub fn record_forwarded(&mut self, name: &RegionName, service: &ServiceName, tokens: u64) {
        if let Some(region) = self.regions.get_mut(name) {
            *region.sent_tokens.entry(service.clone()).or_default() += tokens;
        }
    }

    /// Records that a region refused a request with `tokens` prompt tokens for lack of capacity.
    ///
    /// Until the region's next report, no request of this size or larger is forwarded to the
    /// service there.
    pub fn record_refusal(&mut self, name: &RegionName, service: &ServiceName, tokens: u64) {
        if let Some(region) = self.regions.get_mut(name) {
            let refused = region.refused_tokens.entry(service.clone());
            let smallest = refused.or_insert(tokens);
            *smallest = (*smallest).min(tokens);
        }
    }

    /// Records that no instance of a region could be reached, and starts its backoff.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, name: &RegionName) {
        let region = self.regions.entry(name.clone()).or_default();
        region.backoff_until = now + UNREACHABLE_BACKOFF;
    }

    /// Returns the load of a service in a region, adjusted for the requests forwarded since the
    /// report.
    ///
    /// Returns `None` if the report is too old, if the region is in backoff, if it has no usable
    /// server, or if it has refused a request of at most `tokens` prompt tokens.
    pub fn available_load(
        &self,
        now: MonotonicTime,
        name: &RegionName,
        service: &ServiceName,
        tokens: u64,
    ) -> Option<ServiceReport> {
        let region = self.regions.get(name)?;
        let max_age = match self.is_leaving {
            true => MAX_LOAD_AGE_WHEN_LEAVING,
            false => MAX_LOAD_AGE,
        };
        if now.since(region.reported_at) > max_age || now < region.backoff_until {
            return None;
        }
        let mut report = *region.report.services.get(service)?;
        let refused = region.refused_tokens.get(service);
        if report.servers == 0 || refused.is_some_and(|smallest| tokens >= *smallest) {
            return None;
        }
        let sent = region.sent_tokens.get(service).copied().unwrap_or(0) as f64;
        let ms = sent / (PREFILL_TOKENS_PER_MS * f64::from(report.servers));
        report.expected_latency += Duration::from_secs_f64(ms / 1_000.0);
        Some(report)
    }

    /// Returns the share of the requests to a service that instances of a region are to send to
    /// other regions, from 0 to 1.
    pub fn offload(&self, now: MonotonicTime, name: &RegionName, service: &ServiceName) -> f64 {
        let region = self.regions.get(name);
        let recent = region.filter(|region| now.since(region.reported_at) <= MAX_LOAD_AGE);
        let report = recent.and_then(|region| region.report.services.get(service));
        report.map_or(0.0, |report| f64::from(report.offload_permille) / 1_000.0)
    }

    /// Returns a summary of a service's state in a region, for the log.
    pub fn describe(&self, now: MonotonicTime, name: &RegionName, service: &ServiceName) -> String {
        let Some(region) = self.regions.get(name) else {
            return "unheard".to_owned();
        };
        let age = now.since(region.reported_at).as_millis();
        let servers = region
            .report
            .services
            .get(service)
            .map_or(0, |report| report.servers);
        let state = if now < region.backoff_until {
            ",paused"
        } else if region.refused_tokens.contains_key(service) {
            ",refused"
        } else {
            ""
        };
        format!("{servers}servers,{age}ms{state}")
    }

    /// Returns the total demand of the fleet, whose `instances` instances are in `regions`.
    ///
    /// The demand is complete if each of these regions has sent a recent report.
    pub fn fleet_demand(
        &self,
        now: MonotonicTime,
        regions: &Set<RegionName>,
        instances: usize,
    ) -> FleetDemand {
        let mut fleet = FleetDemand {
            instances,
            complete: true,
            ..FleetDemand::default()
        };
        for name in regions {
            let Some(region) = self.regions.get(name) else {
                fleet.complete = false;
                continue;
            };
            fleet.complete &= now.since(region.reported_at) <= MAX_DEMAND_AGE;
            for (id, rate) in &region.report.demands {
                *fleet.totals.entry(id.clone()).or_default() += rate;
            }
        }
        fleet
    }
}
