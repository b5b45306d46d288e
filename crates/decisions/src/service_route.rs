//! Route to a plain service.

use crate::{IdempotencyKeyRequirement, OrganisationId, ServiceName};

/// Path prefix that leads to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Path prefix, such as `/v1/services/bookings`.
    pub path: String,
    /// Service behind it.
    pub service: ServiceName,
    /// Whether a call may be sent again after it may have run.
    pub repeatable: bool,
    /// Whether a caller must send an idempotency key.
    pub idempotency_key: IdempotencyKeyRequirement,
    /// Organisation charged for calls without a key; none if callers need a key.
    pub anonymous_organisation: Option<OrganisationId>,
    /// Charge for each request in tokens.
    pub cost_tokens: u64,
}
