//! Servers that were removed from the list lately.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, Map, MonotonicTime};

use crate::{BackendEntry, listed_server::ListedServer, paused_servers::RequestPause};

/// Time for which removed servers are remembered: longer than the age of any copy from which the
/// store comes back.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Process of a server that was removed from the list, with what it has said of itself.
pub(crate) struct Departed {
    started_ms: u64,
    pub(crate) leaving: bool,
    pub(crate) pause: RequestPause,
    removed_at: MonotonicTime,
}

/// Recently removed servers, by identifier.
#[derive(Default)]
pub(crate) struct DepartedServers(Map<BackendName, Departed>);

impl DepartedServers {
    /// Records that a server is no longer listed.
    pub(crate) fn record(&mut self, now: MonotonicTime, server: &ListedServer) {
        self.0.retain(|_, one| {
            now.since(one.removed_at) < DEPARTED_MEMORY || one.pause.remaining(now).is_some()
        });
        let departed = Departed {
            started_ms: server.entry.started_ms,
            leaving: server.entry.leaving,
            pause: server.pause,
            removed_at: now,
        };
        self.0.insert(server.entry.id.clone(), departed);
    }

    /// Returns the process of `entry` if it was removed before.
    pub(crate) fn find(&self, entry: &BackendEntry) -> Option<&Departed> {
        let departed = self.0.get(&entry.id);
        departed.filter(|one| one.started_ms == entry.started_ms)
    }

    /// Returns the pause of the last known process of a server that was removed.
    pub(crate) fn pause_mut(&mut self, id: &BackendName) -> Option<&mut RequestPause> {
        self.0.get_mut(id).map(|one| &mut one.pause)
    }
}
