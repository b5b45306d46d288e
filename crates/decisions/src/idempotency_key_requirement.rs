//! Idempotency key requirement of a route.

/// Whether requests on a route must carry an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdempotencyKeyRequirement {
    /// A request may carry an idempotency key.
    #[default]
    Optional,
    /// A request without an idempotency key is refused.
    Required,
}
