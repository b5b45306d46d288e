//! Prompt prefixes that a backend server probably has in its cache.

use hawthornquay_decisions::{Map, MonotonicTime};
use std::time::Duration;

/// Time after which a prefix is no longer expected in a server's cache.
const PREFIX_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of prefixes tracked per server, a few times the capacity of an engine's cache.
const MAX_PREFIXES: usize = 512;

/// Prompt prefixes that this instance has recently sent to a backend server, by hash.
#[derive(Clone, Debug, Default)]
pub struct RecentPrefixes {
    sent_at: Map<u64, MonotonicTime>,
}

impl RecentPrefixes {
    /// Records that a prompt with this prefix is sent to the server.
    ///
    /// At the maximum number of prefixes, those older than half the lifetime are removed. If none
    /// is that old, the prefix is not recorded.
    pub fn record(&mut self, now: MonotonicTime, prefix: u64) {
        if self.sent_at.len() >= MAX_PREFIXES {
            self.sent_at
                .retain(|_, at| now.since(*at) < PREFIX_LIFETIME / 2);
        }
        if self.sent_at.len() < MAX_PREFIXES {
            self.sent_at.insert(prefix, now);
        }
    }

    /// Returns whether the prefix is expected in the server's cache.
    pub fn contains(&self, now: MonotonicTime, prefix: u64) -> bool {
        self.sent_at
            .get(&prefix)
            .is_some_and(|at| now.since(*at) < PREFIX_LIFETIME)
    }
}
