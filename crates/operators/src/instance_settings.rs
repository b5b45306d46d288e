//! Names and listen addresses of the instance.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, InstanceName, RegionName};

/// Section `[instance]` of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region in which the instance runs.
    pub region: RegionName,
    /// Failure domain in which the instance runs.
    pub domain: DomainName,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for other instances.
    pub peers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
}
