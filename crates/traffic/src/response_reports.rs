//! What the responses of backend servers show about them.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, MonotonicTime, ServiceName};

use crate::{ReportedLoad, ServerPick, ServerTable, service_model::ServiceModel};

impl ServerTable {
    /// Records the first byte of a response after `took`, or `None` if the request ended without
    /// one.
    pub fn record_first_byte(&mut self, pick: &ServerPick, took: Option<Duration>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.record_first_byte(pick.uncached_tokens);
        server.ramp.record_first_byte();
        let Some(took) = took else {
            return;
        };
        server.latency.observe(took, pick.uncorrected_ms);
        if let Some(pace) = pick.pace
            && let Some(model) = self.models.get_mut(&server.entry.service)
            && pick.requests < server.entry.slots
        {
            let ms = took.as_secs_f64() * 1_000.0 / pace;
            model.prefill_rate.observe(pick.prefill_tokens as f64, ms);
        }
    }

    /// Records the end of a request; `slot_time` is the time that it occupied a slot, if it
    /// completed.
    pub fn record_end(&mut self, id: &BackendName, slot_time: Option<Duration>) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.load.record_end();
        if let Some(took) = slot_time {
            let service = server.entry.service.clone();
            self.models
                .entry(service)
                .or_default()
                .slot_time
                .record(took);
        }
    }

    /// Returns what is known of the servers of a service together.
    pub(crate) fn model(&self, service: &ServiceName) -> ServiceModel {
        self.models.get(service).copied().unwrap_or_default()
    }

    /// Records the load that a server reports with a response.
    pub fn record_load_report(&mut self, now: MonotonicTime, id: &BackendName, load: ReportedLoad) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.load.record_load_report(now, load);
        if let Some(level) = self.full_levels.get_mut(&server.entry.service) {
            *level = (*level).max(load.running + load.waiting);
        }
        if let Some(percent) = load.pace {
            self.record_pace(now, id, percent);
        }
    }

    /// Records the pace that a server states, in percent.
    pub fn record_pace(&mut self, now: MonotonicTime, id: &BackendName, percent: u32) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.pace.record(now, percent);
        let model = self.models.entry(server.entry.service.clone()).or_default();
        model.is_paced |= server.pace.is_stated();
    }

    /// Records `events` events of a stream that took `took` since the ones before.
    pub fn record_events(
        &mut self,
        now: MonotonicTime,
        id: &BackendName,
        events: u64,
        took: Duration,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let (events, ms) = (events as f64, took.as_secs_f64() * 1_000.0);
        server.events.record(now, events, ms);
        let model = self.models.entry(server.entry.service.clone()).or_default();
        model
            .streams
            .record(now, events, ms, server.pace.usual(now));
    }

    /// Records that a stream for which `tokens` output tokens were declared has `events` events so far.
    pub fn record_running_stream(&mut self, id: &BackendName, events: u64, tokens: u64) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let model = self.models.entry(server.entry.service.clone()).or_default();
        model.streams.record_running(events, tokens);
    }

    /// Records a complete stream of `events` events for which `tokens` output tokens were declared.
    pub fn record_complete_stream(&mut self, id: &BackendName, events: u64, tokens: u64) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let model = self.models.entry(server.entry.service.clone()).or_default();
        model.streams.record_complete(events, tokens);
    }
}
