//! Crash of a backend server and the prompt parts that may have caused it.

use std::net::SocketAddr;

use crate::{AnswerStage, BackendName, MonotonicTime, PartId};

/// Prompt part of a request that failed with a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectedPart {
    /// Identifier of the part.
    pub id: PartId,
    /// Stage that a later answer to a request with the part has to reach to clear it.
    pub cleared_by: AnswerStage,
}

/// Crash of a backend server, with the prompt parts of the requests whose answers had not begun or not
/// run for long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Backend server that crashed; each start of a server counts as a server of its own.
    pub server: BackendName,
    /// Address of the server, which a later start of the server may have again.
    pub address: SocketAddr,
    /// Time at which the first of the requests failed.
    pub at: MonotonicTime,
    /// Parts of the requests that failed, in ascending order. A part occurs once for each stage that clears
    /// it, since requests with it may have come differently far.
    pub parts: Vec<SuspectedPart>,
}

impl CrashEvidence {
    /// Returns whether a request with the part failed.
    pub(crate) fn has_part(&self, id: PartId) -> bool {
        let found = self.parts.binary_search_by_key(&id, |part| part.id);
        found.is_ok()
    }
}
