//! Backend servers that are in a ramp.
//!
//! The cold-start limit and the limits stated by servers apply first: a server that they exclude is not
//! considered here, and while a server is cold its window has no effect.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, MonotonicTime};

use crate::{
    PlacementRequest, RampCause, RampOutcome, ServerPick, ServerTable, ServiceConfig,
    listed_server::ListedServer, server_ramp::RampTarget,
};

/// Start or end of the ramp of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RampEvent {
    /// Identifier of the server.
    pub id: BackendName,
    /// What happened.
    pub kind: RampEventKind,
}

/// What happened to a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampEventKind {
    /// It began, or began again.
    Began {
        /// Why it began.
        cause: RampCause,
        /// Requests that the server may have at first.
        window: u32,
    },
    /// The window has reached the number of slots.
    Ended {
        /// Time since the beginning.
        took: Duration,
        /// Responses to this instance in that time, in time or not.
        responses: u32,
    },
}

/// Ramps of all servers, for log and metrics.
#[derive(Debug, Default)]
pub(crate) struct RampLog {
    events: Vec<RampEvent>,
    /// Requests that passed over a server with a full window since they were last taken.
    passed_over: u64,
}

/// Whether servers with a full window are left out of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WindowUse {
    /// They are left out; none has been so far.
    Applied,
    /// They are left out, and at least one has been.
    HasPassedOver,
    /// They are considered.
    Ignored,
}

impl ListedServer {
    /// Returns whether the requests of the region fill the window of the server. Begins a ramp that is
    /// due, and ends one that is complete.
    pub(crate) fn has_full_window(
        &mut self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        config: &ServiceConfig,
        log: &mut RampLog,
    ) -> bool {
        if config.engine.is_none() && config.cold_duration.is_zero() {
            self.ramp.cancel();
            return false;
        }
        if self.cold.is_cold(now) {
            return false;
        }
        let target = RampTarget {
            requests: self.load.requests(now),
            slots: self.entry.slots,
            is_engine: config.engine.is_some(),
            instances: req.region_instances.len(),
        };
        let cause = self.ramp.begin(now, self.cold.known_until(), &target);
        if let (Some(cause), Some(window)) = (cause, self.ramp.window()) {
            log.events.push(RampEvent {
                id: self.entry.id.clone(),
                kind: RampEventKind::Began { cause, window },
            });
        }
        let is_full = self.ramp.is_full(now, &target);
        self.end_ramp(now, log);
        is_full
    }

    fn end_ramp(&mut self, now: MonotonicTime, log: &mut RampLog) {
        if let Some(end) = self.ramp.end(now) {
            log.events.push(RampEvent {
                id: self.entry.id.clone(),
                kind: RampEventKind::Ended {
                    took: end.took,
                    responses: end.responses,
                },
            });
        }
    }
}

impl ServerTable {
    /// Records what a request sent at `sent_at` to the picked server shows about the server's pace.
    pub fn record_ramp_outcome(
        &mut self,
        now: MonotonicTime,
        sent_at: MonotonicTime,
        pick: &ServerPick,
        outcome: RampOutcome,
    ) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        if matches!(outcome, RampOutcome::FirstChunk(_)) && server.pause.record_answer(sent_at) {
            server.ramp.restart(RampCause::Resumed);
        }
        server
            .ramp
            .record(now, sent_at, pick.expected_latency, outcome);
        server.end_ramp(now, &mut self.ramps);
    }

    /// Records that a request was sent elsewhere because the window of a server is full.
    pub(crate) const fn record_passed_over(&mut self) {
        self.ramps.passed_over += 1;
    }

    /// Returns the number of requests that passed over a server in a ramp since the last call.
    pub fn take_passed_over(&mut self) -> u64 {
        std::mem::take(&mut self.ramps.passed_over)
    }

    /// Returns the starts and ends of ramps since the last call.
    pub fn take_ramp_events(&mut self) -> Vec<RampEvent> {
        std::mem::take(&mut self.ramps.events)
    }

    /// Returns the number of requests that the region may have at a server; `None` if the server is
    /// unknown or in no ramp.
    pub fn ramp_window(&self, id: &BackendName) -> Option<u32> {
        self.servers.get(id)?.ramp.window()
    }

    /// Returns the number of servers in a ramp.
    pub fn ramping_servers(&self) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|server| server.ramp.window().is_some())
            .count()
    }
}
