//! Servers that were removed from the list lately.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, Map, MonotonicTime};

use crate::BackendEntry;

/// Time for which removed servers are remembered: longer than the age of any copy from which the
/// store comes back.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Process of a server that was removed from the list.
struct Departed {
    started_ms: u64,
    leaving: bool,
    removed_at: MonotonicTime,
}

/// Recently removed servers, by identifier.
#[derive(Default)]
pub(crate) struct DepartedServers(Map<BackendName, Departed>);

impl DepartedServers {
    /// Records that a server is no longer listed.
    pub(crate) fn record(&mut self, now: MonotonicTime, entry: &BackendEntry) {
        self.0
            .retain(|_, one| now.since(one.removed_at) < DEPARTED_MEMORY);
        let departed = Departed {
            started_ms: entry.started_ms,
            leaving: entry.leaving,
            removed_at: now,
        };
        self.0.insert(entry.id.clone(), departed);
    }

    /// Returns whether the process of `entry` was removed before; `Some(true)` if it was leaving.
    pub(crate) fn find(&self, entry: &BackendEntry) -> Option<bool> {
        let departed = self.0.get(&entry.id)?;
        (departed.started_ms == entry.started_ms).then_some(departed.leaving)
    }
}
