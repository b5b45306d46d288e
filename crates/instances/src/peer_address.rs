//! Where and whom to call.

use std::net::SocketAddr;

use hawthornquay_decisions::{Incarnation, InstanceName};

/// Address of an instance and the identity expected there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Expected instance name.
    pub name: InstanceName,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Expected incarnation, where only one process can serve the call.
    pub incarnation: Option<Incarnation>,
}

impl PeerAddress {
    /// Expects any incarnation of the instance `name`.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            address,
            incarnation: None,
        }
    }
}
