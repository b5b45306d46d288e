//! Crash of a backend server and the prompt parts that may have caused it.

use std::net::SocketAddr;

use crate::{BackendName, MonotonicTime, PartId};

/// Crash of a backend server, with the prompt parts of the requests that it had not begun to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Backend server that crashed; each start of a server counts as a server of its own.
    pub server: BackendName,
    /// Address of the server, which a later start of the server may have again.
    pub address: SocketAddr,
    /// Time at which the first of the requests failed.
    pub at: MonotonicTime,
    /// Parts of the requests that failed without an answer, in ascending order.
    pub parts: Vec<PartId>,
}
