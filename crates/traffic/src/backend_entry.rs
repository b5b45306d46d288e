//! Backend server as the platform lists it.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, DomainName, ServiceName};

/// Backend server as the platform lists it in its store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Identifier; a restarted server usually has a new one.
    pub id: BackendName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time when the list was read; zero for a warm server.
    pub cold_remaining: Duration,
    /// Unix time at which it started, in milliseconds; zero if unknown.
    pub started_ms: u64,
}
