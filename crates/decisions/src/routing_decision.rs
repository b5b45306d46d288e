//! Outcome of a routing decision.

use crate::{BackendName, DomainName, Refusal};

/// What an instance does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Call a backend server of the instance's own domain.
    Call(BackendName),
    /// Forward the request to an instance of another domain.
    ///
    /// Forwarding to another region consumes a grant: the instance must call
    /// [`crate::RoutingGrants::try_consume`] first, and decide again if that fails.
    Forward(DomainName),
    /// Wait in the [`crate::FairQueue`], then decide again.
    Wait,
    /// Refuse the request.
    Refuse(Refusal),
}
