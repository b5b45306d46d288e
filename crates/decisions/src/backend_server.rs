//! Backend server in the bundle.

use std::net::SocketAddr;

use crate::{BackendKind, BackendName, DomainName, RouteTarget};

/// Backend server with its place and what it serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Name.
    pub name: BackendName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// What it serves.
    pub kind: BackendKind,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

impl BackendServer {
    /// Returns whether it serves `target`.
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
