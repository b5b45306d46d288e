//! Use and load of the backend servers, as instances report them to each other.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, Map, MonotonicTime, ServiceName};

use crate::{Admissions, ServerTable, ServerUsage, ServiceReport};

impl ServerTable {
    /// Records whether a server accepted a request or rejected it because it was full.
    pub fn record_admission(&mut self, id: &BackendName, accepted: bool) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let service = server.entry.service.clone();
        if !accepted
            && let Some(load) = server.load.last_report()
            && load.waiting > 0
            && load.running >= load.slots
        {
            let requests = load.running + load.waiting;
            self.full_levels.insert(service.clone(), requests);
        }
        self.admissions.entry(service).or_default().add(Admissions {
            accepted: u32::from(accepted),
            rejected: u32::from(!accepted),
        });
    }

    /// Returns the requests that servers accepted and rejected since the last call.
    pub fn take_admissions(&mut self) -> Map<ServiceName, Admissions> {
        std::mem::take(&mut self.admissions)
    }

    /// Returns this instance's use of each server.
    pub fn own_usage(&self) -> Vec<ServerUsage> {
        self.servers
            .iter()
            .filter(|(_, server)| server.load.own_requests > 0)
            .map(|(id, server)| ServerUsage {
                id: id.clone(),
                requests: server.load.own_requests,
                pending_tokens: server.load.own_pending,
            })
            .collect()
    }

    /// Records the total use of each server by the `peers` other instances of the region; servers
    /// without a row are unused.
    pub fn apply_peer_usage(&mut self, now: MonotonicTime, peers: u32, rows: &[ServerUsage]) {
        let rows: Map<&BackendName, &ServerUsage> = rows.iter().map(|row| (&row.id, row)).collect();
        for (id, server) in &mut self.servers {
            let (requests, pending) = rows
                .get(id)
                .map_or((0, 0), |row| (row.requests, row.pending_tokens));
            // Most requests to plain services end within a status interval, so the peers' requests
            // since their last report are not estimated.
            let engine = self.engines.contains(&server.entry.service);
            let estimated_peers = if engine { peers } else { 0 };
            server
                .load
                .apply_peer_usage(now, estimated_peers, requests, pending);
        }
    }

    /// Returns the load of each service, over the usable servers in the failure domains for which
    /// `is_local` returns true.
    pub fn service_reports(
        &self,
        now: MonotonicTime,
        is_local: impl Fn(&DomainName) -> bool,
    ) -> Map<ServiceName, ServiceReport> {
        let mut reports: Map<ServiceName, ServiceReport> = Map::default();
        for server in self.servers.values() {
            let domain = &server.entry.domain;
            if !is_local(domain) || self.evacuated.contains(domain) || !server.is_usable(now) {
                continue;
            }
            // A cold server accepts too few requests to be offered to other regions, and one that has
            // none left of its limit accepts none. A pause holds for this instance only.
            if server.cold.is_cold(now) || server.limit.is_exhausted(now) {
                continue;
            }
            let model = self.model(&server.entry.service);
            let expected_ms = server.empty_prompt_ms(now, &model);
            let requests = server.load.requests(now);
            let report = reports
                .entry(server.entry.service.clone())
                .or_insert_with(ServiceReport::empty);
            report.servers += 1;
            report.free_slots += server.entry.slots.saturating_sub(requests);
            report.expected_latency = report
                .expected_latency
                .min(Duration::from_secs_f64(expected_ms / 1_000.0));
            let interval_ms = model.streams.recent_interval_ms(now).unwrap_or(0.0);
            let interval = Duration::from_secs_f64(interval_ms * server.pace.usual(now) / 1_000.0);
            // The mean over the servers so far.
            let difference = interval.as_secs_f64() - report.event_interval.as_secs_f64();
            let mean = report.event_interval.as_secs_f64() + difference / f64::from(report.servers);
            report.event_interval = Duration::from_secs_f64(mean.max(0.0));
        }
        reports
    }
}
