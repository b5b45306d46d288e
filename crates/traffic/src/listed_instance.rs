//! Instance in the store's list.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, InstanceId, RegionName};

/// Instance in the store's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}
