//! Choice of a backend server.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::BackendName;

/// Backend server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPick {
    /// Identifier.
    pub id: BackendName,
    /// Address.
    pub address: SocketAddr,
    /// Predicted time to the first part of the answer.
    pub expected_latency: Duration,
    /// Predicted time without the server's correction, in milliseconds.
    pub uncorrected_ms: f64,
    /// Requests at the server, as far as they are known.
    pub requests: u32,
    /// Prompt tokens that the server is expected to read.
    pub uncached_tokens: u64,
    /// Server that probably holds the shared parts of the prompt, from which they may be copied.
    pub copy_from: Option<SocketAddr>,
}
