//! State of routing at this instance.

use hawthornquay_decisions::{LoadView, PrefixMap, RetryBudget, RoutingGrantor, RoutingGrants};

/// Tables that routing decisions read and change under one lock.
#[derive(Default)]
pub struct RoutingState {
    /// Load of backend servers and domains.
    pub view: LoadView,
    /// Prefix caches of engines.
    pub prefixes: PrefixMap,
    /// Capacity that other regions granted.
    pub grants: RoutingGrants,
    /// Capacity granted to other regions.
    pub grantor: RoutingGrantor,
    /// Retries that may still be made.
    pub retries: RetryBudget,
}
