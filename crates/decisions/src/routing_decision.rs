//! Outcome of a routing decision.

use crate::{BackendName, DomainName, Refusal};

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Call a backend server of the own domain.
    Call(BackendName),
    /// Forward to an instance of another domain.
    Forward(DomainName),
    /// Wait in the queue for a free server, and decide again.
    Wait,
    /// Refuse.
    Refuse(Refusal),
}
