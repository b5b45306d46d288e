//! Backend servers that announce in their answers that they are leaving.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, MonotonicTime};

use crate::ServerTable;

/// Time for which an announcement is passed on: some status intervals, in case one is lost.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(3_000);

/// Process of a backend server that has announced that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingServer {
    /// Identifier of the server.
    pub id: BackendName,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
}

impl ServerTable {
    /// Records that a server has announced in an answer that it is leaving; returns whether that was
    /// new. Only a restart of the server ends it.
    pub fn record_leaving(&mut self, now: MonotonicTime, id: &BackendName) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if std::mem::replace(&mut server.entry.leaving, true) {
            return false;
        }
        let leaving = LeavingServer {
            id: id.clone(),
            started_ms: server.entry.started_ms,
        };
        self.announced.push((now, leaving));
        true
    }

    /// Records that another instance knows of the announcement of a server; returns whether it was
    /// new to this one.
    pub fn apply_leaving(&mut self, now: MonotonicTime, leaving: &LeavingServer) -> bool {
        let server = self.servers.get(&leaving.id);
        server.is_some_and(|one| one.entry.started_ms == leaving.started_ms)
            && self.record_leaving(now, &leaving.id)
    }

    /// Returns the recent announcements, to be sent to other instances.
    pub fn announced_leaving(&mut self, now: MonotonicTime) -> Vec<LeavingServer> {
        self.announced
            .retain(|(at, _)| now.since(*at) < ANNOUNCEMENT_TIME);
        self.announced.iter().map(|(_, one)| one.clone()).collect()
    }
}
