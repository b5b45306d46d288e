//! What is known of other regions.

use std::time::Duration;

use hawthornquay_decisions::{Map, MonotonicTime, RegionName, ServiceName, Set};

use crate::{FleetDemand, PREFILL_TOKENS_PER_MS, RegionReport, ServiceReport};

/// Age up to which a region's load report is used to send requests there.
const LOAD_LIFE: Duration = Duration::from_millis(2_500);

/// Age up to which a region's demand counts as known.
const DEMAND_LIFE: Duration = Duration::from_millis(2_000);

/// Pause after a request could not be passed to a region.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct Region {
    report: RegionReport,
    reported_at: MonotonicTime,
    sent_tokens: Map<ServiceName, u64>,
    /// Prompt tokens of the smallest request of each service that was refused since the report.
    refused_tokens: Map<ServiceName, u64>,
    paused_until: MonotonicTime,
}

/// Reports of all regions, corrected by what was sent there since.
#[derive(Default)]
pub struct RegionTable {
    regions: Map<RegionName, Region>,
}

impl RegionTable {
    /// Takes a report that was made at `reported_at`; an older one than the last is ignored.
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

    /// Returns the last report of each region with its time.
    pub fn reports(&self) -> impl Iterator<Item = (&RegionName, MonotonicTime, &RegionReport)> {
        self.regions
            .iter()
            .map(|(name, region)| (name, region.reported_at, &region.report))
    }

    /// Counts a request that is passed to a region.
    pub fn record_forwarded(&mut self, name: &RegionName, service: &ServiceName, tokens: u64) {
        if let Some(region) = self.regions.get_mut(name) {
            *region.sent_tokens.entry(service.clone()).or_default() += tokens;
        }
    }

    /// Notes that a region refused a request of `tokens` for want of capacity.
    ///
    /// Until its next report, the region is offered no request of this size for the service.
    pub fn record_refusal(&mut self, name: &RegionName, service: &ServiceName, tokens: u64) {
        if let Some(region) = self.regions.get_mut(name) {
            let refused = region.refused_tokens.entry(service.clone());
            let least = refused.or_insert(tokens);
            *least = (*least).min(tokens);
        }
    }

    /// Notes that a request could not be passed to a region.
    pub fn mark_unreachable(&mut self, now: MonotonicTime, name: &RegionName) {
        let region = self.regions.entry(name.clone()).or_default();
        region.paused_until = now + FAILURE_PAUSE;
    }

    /// Returns the load of a service in a region, if it is recent and takes requests of `tokens`.
    pub fn available_load(
        &self,
        now: MonotonicTime,
        name: &RegionName,
        service: &ServiceName,
        tokens: u64,
    ) -> Option<ServiceReport> {
        let region = self.regions.get(name)?;
        if now.since(region.reported_at) > LOAD_LIFE || now < region.paused_until {
            return None;
        }
        let mut report = *region.report.services.get(service)?;
        let refused = region.refused_tokens.get(service);
        if report.servers == 0 || refused.is_some_and(|least| tokens >= *least) {
            return None;
        }
        let sent = region.sent_tokens.get(service).copied().unwrap_or(0) as f64;
        let ms = sent / (PREFILL_TOKENS_PER_MS * f64::from(report.servers));
        report.expected_latency += Duration::from_secs_f64(ms / 1_000.0);
        Some(report)
    }

    /// Describes for the log what is known of a service in a region.
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
        let state = if now < region.paused_until {
            ",paused"
        } else if region.refused_tokens.contains_key(service) {
            ",refused"
        } else {
            ""
        };
        format!("{servers}servers,{age}ms{state}")
    }

    /// Adds up the demand over `regions`, those that have instances.
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
            fleet.complete &= now.since(region.reported_at) <= DEMAND_LIFE;
            for (id, rate) in &region.report.demands {
                *fleet.totals.entry(id.clone()).or_default() += rate;
            }
        }
        fleet
    }
}
