//! Routing state of an instance.

use hawthornquay_decisions::{LoadView, PrefixMap, RetryBudget, RoutingGrantor, RoutingGrants};

/// State that routing decisions read and update, protected by one lock.
#[derive(Default)]
pub struct RoutingState {
    /// Load of backend servers and other failure domains.
    pub view: LoadView,
    /// Contents of the engines' prefix caches.
    pub prefixes: PrefixMap,
    /// Capacity granted by other regions.
    pub grants: RoutingGrants,
    /// Capacity granted to other regions.
    pub grantor: RoutingGrantor,
    /// Budget that limits retries.
    pub retries: RetryBudget,
}
