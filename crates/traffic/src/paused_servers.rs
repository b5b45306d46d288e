//! Backend servers that take no requests from this instance for a time.
//!
//! A server that turns a request away may state for how long it wants nothing from the instance that sent
//! it. This holds for that instance only, so it is not passed on to others.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, MonotonicTime, ServiceName};

use crate::{ServerTable, listed_server::ListedServer};

/// Longest pause that is kept; a server that starts again ends it before.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Part of a server's slots, one of this number, up to which requests wait for an answer after a pause
/// until the first one is answered.
const RESUMING_SLOT_DIVISOR: u32 = 8;

/// Pause that a server has asked this instance for; the default is a server that has never done so.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestPause {
    until: MonotonicTime,
    /// Whether no request has been answered that was sent after the pause.
    awaits_answer: bool,
}

impl RequestPause {
    /// Returns the time until the pause ends; `None` outside a pause.
    pub(crate) fn remaining(&self, now: MonotonicTime) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Extends the pause to `time` from now on; returns whether one begins.
    fn extend(&mut self, now: MonotonicTime, time: Duration) -> bool {
        if time.is_zero() {
            return false;
        }
        let begins = self.remaining(now).is_none();
        self.until = self.until.max(now + time.min(MAX_PAUSE));
        self.awaits_answer = true;
        begins
    }

    /// Records the answer to a request sent at `sent_at`; returns whether it is the first after a pause.
    pub(crate) fn record_answer(&mut self, sent_at: MonotonicTime) -> bool {
        let is_first = self.awaits_answer && sent_at >= self.until;
        self.awaits_answer &= !is_first;
        is_first
    }
}

impl ListedServer {
    /// Returns whether the server takes another request from this instance. After a pause it gets few
    /// until it answers one.
    pub(crate) fn takes_requests(&self, now: MonotonicTime) -> bool {
        let most_waiting = (self.entry.slots / RESUMING_SLOT_DIVISOR).max(1);
        self.pause.remaining(now).is_none()
            && !(self.pause.awaits_answer && self.ramp.waiting() >= most_waiting)
    }
}

impl ServerTable {
    /// Records that a server wants no requests from this instance for `time`; returns whether a pause
    /// begins. It is kept if the server's entry goes and comes back.
    pub fn record_pause(&mut self, now: MonotonicTime, id: &BackendName, time: Duration) -> bool {
        let pause = match self.servers.get_mut(id) {
            Some(server) => Some(&mut server.pause),
            None => self.departed.get_mut(id).map(|one| &mut one.pause),
        };
        pause.is_some_and(|pause| pause.extend(now, time))
    }

    /// Returns whether a server wants no requests from this instance now.
    pub fn is_paused(&self, now: MonotonicTime, id: &BackendName) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.pause.remaining(now).is_some())
    }

    /// Returns the time until the first server of a service takes requests from this instance again, if
    /// none does now because of a pause.
    pub fn pause_remaining(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        is_local: impl Fn(&DomainName) -> bool,
    ) -> Option<Duration> {
        let servers = self.servers.values().filter(|server| {
            let entry = &server.entry;
            entry.service == *service
                && !entry.leaving
                && is_local(&entry.domain)
                && !self.evacuated.contains(&entry.domain)
        });
        let mut remaining = servers.map(|server| server.pause.remaining(now));
        let first = remaining.next()??;
        remaining.try_fold(first, |shortest, one| Some(shortest.min(one?)))
    }
}
