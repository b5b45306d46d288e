//! Paces that servers state, and events of the streams that run there.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, MonotonicTime};

use crate::ServerTable;

impl ServerTable {
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
        model.streams.record(now, events, ms, server.pace.usual());
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
