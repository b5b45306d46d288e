//! Backend server as configured in the bundle.

use std::net::SocketAddr;

use crate::{BackendKind, BackendName, DomainName, RouteTarget};

/// Configuration of one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Name of the server, unique within the bundle.
    pub name: BackendName,
    /// Address of the server's HTTP interface.
    pub address: SocketAddr,
    /// Failure domain that the server runs in.
    pub domain: DomainName,
    /// Models or service that the server provides.
    pub kind: BackendKind,
    /// Whether the server rejects orders that carry an outdated fencing number.
    pub checks_fencing: bool,
}

impl BackendServer {
    /// Returns whether the server provides `target`.
    pub fn serves(&self, target: &RouteTarget) -> bool {
        match (&self.kind, target) {
            (BackendKind::ModelEngine { models }, RouteTarget::Model(model)) => {
                models.contains(model)
            }
            (BackendKind::PlainService { service }, RouteTarget::Service(wanted)) => {
                service == wanted
            }
            _ => false,
        }
    }
}
