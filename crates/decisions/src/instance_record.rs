//! Entry of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, InstanceName, InstanceState, RegionName};

/// One instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region that the instance runs in.
    pub region: RegionName,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// State in the list.
    pub state: InstanceState,
    /// Time since the state last changed, in milliseconds.
    pub state_age_ms: u64,
}
