//! Backend server in the platform's list.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, DomainName, ServiceName};

/// Backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Identifier, which is new at most starts of the server.
    pub id: BackendName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Time for which it stays cold, counted from the listing.
    pub cold_remaining: Duration,
    /// Unix time of its start in milliseconds; zero if unknown.
    pub started_ms: u64,
}
