//! Load of a backend server.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Age up to which a server's own report counts.
const REPORT_LIFE: Duration = Duration::from_millis(400);

/// Age up to which the work that other instances reported counts.
const SHARED_LIFE: Duration = Duration::from_millis(2_000);

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Load of a backend server: own requests, those of others and its own reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    /// Own requests that have not ended.
    pub own_requests: u32,
    /// Prompt tokens of own requests that have no answer yet.
    pub own_pending: u64,
    others_requests: u32,
    others_pending: u64,
    others_at: MonotonicTime,
    reported: Option<(MonotonicTime, ReportedLoad)>,
    sent_since: u32,
}

impl ServerLoad {
    /// Counts a request that is sent.
    pub fn start(&mut self, tokens: u64) {
        self.own_requests += 1;
        self.own_pending += tokens;
        self.sent_since += 1;
    }

    /// Counts the first part of an answer.
    pub fn answer(&mut self, tokens: u64) {
        self.own_pending = self.own_pending.saturating_sub(tokens);
    }

    /// Counts the end of a request.
    pub fn end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Takes the load that the server reports.
    pub fn report(&mut self, now: MonotonicTime, load: ReportedLoad) {
        self.reported = Some((now, load));
        self.sent_since = 0;
    }

    /// Takes the work that other instances have at the server.
    pub fn share(&mut self, now: MonotonicTime, requests: u32, pending: u64) {
        self.others_requests = requests;
        self.others_pending = pending;
        self.others_at = now;
    }

    /// Returns the requests at the server, as far as they are known.
    pub fn requests(&self, now: MonotonicTime) -> u32 {
        let counted = self.own_requests + self.others(now).0;
        let Some((at, load)) = self.reported else {
            return counted;
        };
        if now.since(at) > REPORT_LIFE {
            return counted;
        }
        counted.max(load.running + load.waiting + self.sent_since)
    }

    /// Returns the prompt tokens that the server has yet to read.
    pub fn pending(&self, now: MonotonicTime) -> u64 {
        self.own_pending + self.others(now).1
    }

    fn others(&self, now: MonotonicTime) -> (u32, u64) {
        if now.since(self.others_at) > SHARED_LIFE {
            return (0, 0);
        }
        (self.others_requests, self.others_pending)
    }
}
