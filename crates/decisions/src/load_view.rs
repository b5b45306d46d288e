//! Load of all backend servers and domains, as one instance estimates it.

use std::time::Duration;

use crate::{
    BackendName, Bundle, DomainName, LoadEstimate, LoadKey, LoadOutcome, LoadReport, LoadState,
    LoadTicket, Map, MonotonicTime, RouteTarget, load_entry::LoadEntry,
};

/// Age from which a report is ignored.
const STALE_REPORT_AGE: Duration = Duration::from_secs(5);
/// Seconds added to the estimated queue time of a server without a recent report.
const MISSING_REPORT_PENALTY_SECONDS: f64 = 0.5;
/// Upper bound of the multiplier for requests that this instance sent. The few requests of one
/// instance are a noisy sample of those of all instances.
const MAX_SEND_MULTIPLIER: f64 = 3.0;

/// Load reports, corrected by the requests that this instance has sent since they were made.
#[derive(Clone, Debug)]
pub struct LoadView {
    entries: Map<LoadKey, LoadEntry>,
    last_ticket_number: u64,
    send_multiplier: f64,
}

impl Default for LoadView {
    fn default() -> Self {
        Self {
            entries: Map::default(),
            last_ticket_number: 0,
            send_multiplier: 1.0,
        }
    }
}

impl LoadView {
    /// Sets the number of instances that send to the same servers, including this one.
    ///
    /// Requests that other instances have sent since a report are unknown. To account for them,
    /// each request of this instance counts as one plus half the number of other instances, but at
    /// most as three.
    pub fn set_instance_count(&mut self, instances: usize) {
        let others = instances.saturating_sub(1) as f64;
        self.send_multiplier = (1.0 + others / 2.0).min(MAX_SEND_MULTIPLIER);
    }

    /// Records a report that reflects a state at most `age` old.
    ///
    /// Requests sent within `age` may be missing from the report, so `age` must be an upper bound
    /// of its lag rather than the mean.
    pub fn record_report(
        &mut self,
        key: LoadKey,
        report: LoadReport,
        age: Duration,
        now: MonotonicTime,
    ) {
        self.entries
            .entry(key)
            .or_default()
            .record_report(report, age, now);
    }

    /// Records that a request was sent to a server or forwarded to a domain.
    pub fn record_sent(
        &mut self,
        key: LoadKey,
        prefill_tokens: u64,
        now: MonotonicTime,
    ) -> LoadTicket {
        self.last_ticket_number += 1;
        let number = self.last_ticket_number;
        let entry = self.entries.entry(key.clone()).or_default();
        entry.record_sent(number, prefill_tokens, now);
        LoadTicket { key, number }
    }

    /// Records how a sent request ended.
    pub fn record_ended(&mut self, ticket: LoadTicket, outcome: LoadOutcome, now: MonotonicTime) {
        if let Some(entry) = self.entries.get_mut(&ticket.key) {
            entry.record_ended(ticket.number, outcome, now);
        }
    }

    /// Records that a server is shutting down, according to the platform's list or a refusal.
    ///
    /// Only a report that reflects a later state clears this.
    pub fn mark_leaving(&mut self, key: LoadKey, now: MonotonicTime) {
        self.entries.entry(key).or_default().mark_leaving(now);
    }

    /// Removes servers and domains that are not in the bundle.
    pub fn retain_configured(&mut self, bundle: &Bundle) {
        self.entries.retain(|key, _| match key {
            LoadKey::Backend(name) => bundle.backends.contains_key(name),
            LoadKey::Domain(name, _) => bundle.domains.contains_key(name),
        });
    }

    /// Returns the state of a server or domain.
    pub fn state(&self, key: &LoadKey, now: MonotonicTime) -> LoadState {
        self.entries.get(key).map_or(LoadState::Unknown, |entry| {
            entry.state(STALE_REPORT_AGE, self.send_multiplier, now)
        })
    }

    /// Returns the state of a server, with an assumed load if it has no recent report.
    ///
    /// Servers of the instance's own domain thus stay usable when their reports fail.
    pub fn state_or_assumed(&self, name: &BackendName, now: MonotonicTime) -> LoadState {
        let key = LoadKey::Backend(name.clone());
        match self.state(&key, now) {
            LoadState::Unknown => LoadState::Available(self.assumed_estimate(&key)),
            state => state,
        }
    }

    /// Returns the summed load of a domain's servers for other domains, or `None` if no server is
    /// available with a recent report.
    ///
    /// Servers that are shutting down or failing are left out. A server in slow start counts with
    /// the share of its slots that is usable so far.
    pub fn domain_summary(
        &self,
        bundle: &Bundle,
        domain: &DomainName,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> Option<LoadReport> {
        let mut sum: Option<LoadReport> = None;
        for server in bundle.backends.values() {
            if server.domain != *domain || !server.serves(target) {
                continue;
            }
            let key = LoadKey::Backend(server.name.clone());
            let LoadState::Available(estimate) = self.state(&key, now) else {
                continue;
            };
            let Some(report) = self.entries.get(&key).and_then(LoadEntry::current_report) else {
                continue;
            };
            let load = server_load(report, &estimate);
            sum = Some(match sum {
                Some(sum) => add(&sum, &load),
                None => load,
            });
        }
        sum.map(|sum| LoadReport {
            name: domain.as_str().to_owned(),
            sequence: now.0,
            ..sum
        })
    }

    /// Estimates the load of a server without a recent report, as an idle server of typical speed
    /// plus the requests of this instance.
    fn assumed_estimate(&self, key: &LoadKey) -> LoadEstimate {
        let assumed = LoadReport {
            name: String::new(),
            running: 0,
            waiting: 0,
            slots: 8,
            servers: 1,
            kv_used: 0,
            kv_capacity: 0,
            prefill_tokens_per_s: 4_000.0,
            decode_ms: 20.0,
            leaving: false,
            sequence: 0,
        };
        let mut estimate = match self.entries.get(key) {
            Some(entry) => entry.estimate_without_report(&assumed),
            None => LoadEntry::default().estimate_without_report(&assumed),
        };
        estimate.queue_seconds += MISSING_REPORT_PENALTY_SECONDS;
        estimate
    }
}

/// Returns the report of a server with its estimated load and its usable slots.
fn server_load(report: &LoadReport, estimate: &LoadEstimate) -> LoadReport {
    let slots = estimate.slots as u32;
    let occupied = estimate.occupied.round() as u32;
    LoadReport {
        running: occupied.min(slots),
        waiting: occupied.saturating_sub(slots),
        slots,
        ..report.clone()
    }
}

/// Returns the sum of two reports; rates and times are averaged over the servers.
fn add(a: &LoadReport, b: &LoadReport) -> LoadReport {
    let servers = a.servers + b.servers;
    let mean = |x: f64, y: f64| {
        (x * f64::from(a.servers) + y * f64::from(b.servers)) / f64::from(servers.max(1))
    };
    LoadReport {
        name: String::new(),
        running: a.running + b.running,
        waiting: a.waiting + b.waiting,
        slots: a.slots + b.slots,
        servers,
        kv_used: a.kv_used + b.kv_used,
        kv_capacity: a.kv_capacity + b.kv_capacity,
        prefill_tokens_per_s: mean(a.prefill_tokens_per_s, b.prefill_tokens_per_s),
        decode_ms: mean(a.decode_ms, b.decode_ms),
        leaving: false,
        sequence: 0,
    }
}
