//! Route to a plain service.

use crate::{IdempotencyKeyRequirement, OrganisationId, ServiceName};

/// Path prefix whose requests are routed to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Path prefix, such as `/v1/services/bookings`.
    pub path: String,
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Whether a request that may have run may be sent again.
    pub repeatable: bool,
    /// Whether requests must carry an idempotency key.
    pub idempotency_key: IdempotencyKeyRequirement,
    /// Organisation that is charged for requests without a caller key; `None` if the route requires
    /// a caller key.
    pub anonymous_organisation: Option<OrganisationId>,
    /// Cost of each request, in tokens of the organisation's limit.
    pub cost_tokens: u64,
}
