//! Outcome of a routing decision.

use crate::{BackendName, DomainName, Refusal};

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Call a backend server of the own domain.
    Call(BackendName),
    /// Forward to an instance of another domain.
    ///
    /// In another region, this uses up a grant: the instance calls
    /// [`crate::RoutingGrants::try_consume`] before it forwards, and decides again if that fails.
    Forward(DomainName),
    /// Wait in the [`crate::FairQueue`] for a free server, and decide again.
    Wait,
    /// Refuse.
    Refuse(Refusal),
}
