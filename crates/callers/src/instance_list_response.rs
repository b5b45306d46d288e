//! Response to `GET /v1/instances`.

use std::net::SocketAddr;

use hawthornquay_decisions::{DomainName, InstanceName, RegionName};
use serde::{Deserialize, Serialize};

/// Instances that a caller may use, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListResponse {
    /// Time after which the caller should request the list again, in milliseconds.
    pub ttl_ms: u64,
    /// Instances, the preferred one first.
    pub instances: Vec<InstanceListEntry>,
}

/// One instance that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceListEntry {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address at which the instance accepts requests of callers.
    pub address: SocketAddr,
}
