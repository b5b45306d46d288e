//! Load of a backend server.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Age up to which a server's own report counts.
const REPORT_LIFE: Duration = Duration::from_millis(400);

/// Age up to which a server's own report counts at an instance that hears nothing from the others:
/// the report is all that it knows of their work.
const LONE_REPORT_LIFE: Duration = Duration::from_millis(1_500);

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
    /// Other instances that send to the same servers.
    peers: u32,
    /// Own requests and their prompt tokens since the last shared counts, and in the interval
    /// before them.
    sent: [(u32, u64); 2],
    reported: Option<(MonotonicTime, ReportedLoad)>,
    sent_since: u32,
}

impl ServerLoad {
    /// Counts a request that is sent.
    pub fn record_sent(&mut self, tokens: u64) {
        self.own_requests += 1;
        self.own_pending += tokens;
        self.sent_since += 1;
        self.sent[0].0 += 1;
        self.sent[0].1 += tokens;
    }

    /// Counts the first part of an answer.
    pub fn record_first_byte(&mut self, tokens: u64) {
        self.own_pending = self.own_pending.saturating_sub(tokens);
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Takes the load that the server reports.
    pub fn record_load_report(&mut self, now: MonotonicTime, load: ReportedLoad) {
        self.reported = Some((now, load));
        self.sent_since = 0;
    }

    /// Takes the work that `peers` other instances had at the server an interval ago.
    pub fn apply_peer_usage(
        &mut self,
        now: MonotonicTime,
        peers: u32,
        requests: u32,
        pending: u64,
    ) {
        self.peers = peers;
        self.sent = [(0, 0), self.sent[0]];
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
        let life = if self.is_shared(now) {
            REPORT_LIFE
        } else {
            LONE_REPORT_LIFE
        };
        if now.since(at) > life {
            return counted;
        }
        counted.max(load.running + load.waiting + self.sent_since)
    }

    /// Returns the prompt tokens that the server has yet to read.
    pub fn pending(&self, now: MonotonicTime) -> u64 {
        self.own_pending + self.others(now).1
    }

    fn is_shared(&self, now: MonotonicTime) -> bool {
        now.since(self.others_at) <= SHARED_LIFE
    }

    fn others(&self, now: MonotonicTime) -> (u32, u64) {
        if !self.is_shared(now) {
            return (0, 0);
        }
        let [(requests, tokens), (requests_before, tokens_before)] = self.sent;
        // The others know the same counts, so what this instance has sent since, each of them has
        // probably sent as well. Without that, all choose the same server until the next counts.
        let unseen = self.peers * (requests + requests_before / 2);
        let unseen_tokens = u64::from(self.peers) * (tokens + tokens_before / 2);
        (
            self.others_requests + unseen,
            self.others_pending + unseen_tokens,
        )
    }
}
