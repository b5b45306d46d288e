//! Instance as the store lists it.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, InstanceId, RegionName};

/// Instance as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Region that it runs in.
    pub region: RegionName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address for links from other instances.
    pub peer_address: SocketAddr,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Bandwidth of its network link in Mbit/s; zero if unknown.
    pub link_mbps: u32,
}
