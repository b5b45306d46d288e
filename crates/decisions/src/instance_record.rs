//! Record of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, InstanceName, InstanceState, RegionName};

/// One instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region that the instance runs in.
    pub region: RegionName,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that other instances connect to.
    pub peers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// State of the instance.
    pub state: InstanceState,
    /// Time since the state last changed, in milliseconds.
    pub state_age_ms: u64,
}
