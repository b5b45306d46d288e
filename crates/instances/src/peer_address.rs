//! Address and expected identity of an instance.

use std::net::SocketAddr;

use hawthornquay_decisions::{Incarnation, InstanceName};

/// Address of an instance and the identity expected there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Expected instance name.
    pub name: InstanceName,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Expected incarnation, or `None` to accept any.
    pub incarnation: Option<Incarnation>,
}

impl PeerAddress {
    /// Creates an address that accepts any incarnation of the instance `name`.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            address,
            incarnation: None,
        }
    }
}
