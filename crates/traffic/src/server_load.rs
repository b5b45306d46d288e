//! Load of a backend server.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Maximum age of a server's own load report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// Maximum age of a server's own load report at an instance that receives no usage from its peers.
/// The report is then its only source for the requests of the other instances.
const MAX_REPORT_AGE_WITHOUT_PEERS: Duration = Duration::from_millis(1_500);

/// Maximum age of the usage that peers have reported.
const MAX_PEER_USAGE_AGE: Duration = Duration::from_millis(2_000);

/// Load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Time that work takes on its machine at this moment, in percent of the usual one; `None` if it
    /// does not state it.
    pub pace: Option<u32>,
}

/// Estimated load of a backend server.
///
/// The estimate combines the requests of this instance, the usage reported by the other instances
/// of the region (the peers) and the load reported by the server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerLoad {
    /// Requests of this instance that are in progress.
    pub own_requests: u32,
    /// Prompt tokens of this instance's requests that wait for the first byte.
    pub own_pending: u64,
    peer_requests: u32,
    peer_pending: u64,
    peer_usage_at: MonotonicTime,
    /// Number of peers for which requests since the last peer usage are estimated; zero for plain
    /// services.
    estimated_peers: u32,
    /// Number of requests sent by this instance and their prompt tokens, first since the last peer
    /// usage, then in the interval before it.
    sent_by_interval: [(u32, u64); 2],
    reported: Option<(MonotonicTime, ReportedLoad)>,
    /// Requests of this instance sent since the server's last report.
    sent_since_report: u32,
}

impl ServerLoad {
    /// Records that a request with `tokens` prompt tokens is sent.
    pub fn record_sent(&mut self, tokens: u64) {
        self.own_requests += 1;
        self.own_pending += tokens;
        self.sent_since_report += 1;
        self.sent_by_interval[0].0 += 1;
        self.sent_by_interval[0].1 += tokens;
    }

    /// Records the first byte of a response, or that the request ended without one.
    pub fn record_first_byte(&mut self, tokens: u64) {
        self.own_pending = self.own_pending.saturating_sub(tokens);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records the load that the server reports.
    pub fn record_load_report(&mut self, now: MonotonicTime, load: ReportedLoad) {
        self.reported = Some((now, load));
        self.sent_since_report = 0;
    }

    /// Returns the last load that the server reported.
    pub fn last_report(&self) -> Option<ReportedLoad> {
        self.reported.map(|(_, load)| load)
    }

    /// Records the total usage by the peers, which is up to one status interval old.
    ///
    /// `estimated_peers` is the number of peers whose newer requests are estimated.
    pub fn apply_peer_usage(
        &mut self,
        now: MonotonicTime,
        estimated_peers: u32,
        requests: u32,
        pending: u64,
    ) {
        self.estimated_peers = estimated_peers;
        self.sent_by_interval = [(0, 0), self.sent_by_interval[0]];
        self.peer_requests = requests;
        self.peer_pending = pending;
        self.peer_usage_at = now;
    }

    /// Returns the estimated number of requests at the server, running or queued.
    pub fn requests(&self, now: MonotonicTime) -> u32 {
        let known_requests = self.own_requests + self.peer_load(now).0;
        let Some((at, load)) = self.reported else {
            return known_requests;
        };
        let max_age = if self.has_peer_usage(now) {
            MAX_REPORT_AGE
        } else {
            MAX_REPORT_AGE_WITHOUT_PEERS
        };
        if now.since(at) > max_age {
            return known_requests;
        }
        known_requests.max(load.running + load.waiting + self.sent_since_report)
    }

    /// Returns the estimated number of prompt tokens that the server has yet to prefill.
    pub fn pending(&self, now: MonotonicTime) -> u64 {
        self.own_pending + self.peer_load(now).1
    }

    fn has_peer_usage(&self, now: MonotonicTime) -> bool {
        now.since(self.peer_usage_at) <= MAX_PEER_USAGE_AGE
    }

    /// Returns the estimated requests and pending prompt tokens of the peers.
    fn peer_load(&self, now: MonotonicTime) -> (u32, u64) {
        if !self.has_peer_usage(now) {
            return (0, 0);
        }
        let [(requests, tokens), (requests_before, tokens_before)] = self.sent_by_interval;
        // All instances have the same usage data, so each peer has probably sent the server as much
        // as this instance since. Otherwise all would choose the same server until the next update.
        // The usage is on average half a status interval old when it arrives, so half of the
        // requests sent in the interval before count as well.
        let unreported = self.estimated_peers * (requests + requests_before / 2);
        let unreported_tokens = u64::from(self.estimated_peers) * (tokens + tokens_before / 2);
        (
            self.peer_requests + unreported,
            self.peer_pending + unreported_tokens,
        )
    }
}
