//! Settings of the instance itself.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, InstanceName, RegionName};

/// Section `[instance]` of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name.
    pub name: InstanceName,
    /// Region that it runs in.
    pub region: RegionName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for other instances.
    pub peers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
}
