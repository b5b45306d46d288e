//! Servers that were removed from the list lately.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, Map, MonotonicTime};

use crate::{
    BackendEntry, listed_server::ListedServer, paused_servers::RequestPause,
    request_limit::RequestLimit,
};

/// Time for which removed servers are remembered: longer than the age of any copy from which the
/// store comes back.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Time for which removed servers that have stated a limit are remembered.
const LIMIT_MEMORY: Duration = Duration::from_secs(600);

/// Process of a server that was removed from the list, with what it has said of itself.
pub(crate) struct Departed {
    pub(crate) started_ms: u64,
    pub(crate) leaving: bool,
    pub(crate) limit: RequestLimit,
    pub(crate) pause: RequestPause,
    removed_at: MonotonicTime,
}

impl Departed {
    fn is_remembered(&self, now: MonotonicTime) -> bool {
        let memory = match self.limit.per_s() {
            Some(_) => LIMIT_MEMORY,
            None => DEPARTED_MEMORY,
        };
        now.since(self.removed_at) < memory || self.pause.remaining(now).is_some()
    }
}

/// Recently removed servers, by identifier.
#[derive(Default)]
pub(crate) struct DepartedServers(Map<BackendName, Departed>);

impl DepartedServers {
    /// Records that a server is no longer listed.
    pub(crate) fn record(&mut self, now: MonotonicTime, server: &ListedServer) {
        self.0.retain(|_, one| one.is_remembered(now));
        let departed = Departed {
            started_ms: server.entry.started_ms,
            leaving: server.entry.leaving,
            limit: server.limit,
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

    /// Returns the last known process of a server that was removed.
    pub(crate) fn get_mut(&mut self, id: &BackendName) -> Option<&mut Departed> {
        self.0.get_mut(id)
    }
}
