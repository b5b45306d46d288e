//! Prompt prefixes that a backend server has read.

use hawthornquay_decisions::{Map, MonotonicTime};
use std::time::Duration;

/// Time after which a prefix is no longer expected in a server's cache.
const LIFE: Duration = Duration::from_secs(30);

/// Prefixes remembered for one server, a few times what the memory of an engine holds.
const MOST: usize = 512;

/// Prompt prefixes that this instance has sent to a backend server.
#[derive(Clone, Debug, Default)]
pub struct RecentPrefixes {
    read: Map<u64, MonotonicTime>,
}

impl RecentPrefixes {
    /// Notes that the server reads the prefix.
    pub fn record(&mut self, now: MonotonicTime, prefix: u64) {
        if self.read.len() >= MOST {
            self.read.retain(|_, at| now.since(*at) < LIFE / 2);
        }
        if self.read.len() < MOST {
            self.read.insert(prefix, now);
        }
    }

    /// Returns whether the server is expected to have the prefix in its cache.
    pub fn contains(&self, now: MonotonicTime, prefix: u64) -> bool {
        self.read
            .get(&prefix)
            .is_some_and(|at| now.since(*at) < LIFE)
    }
}
