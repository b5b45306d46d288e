//! Whether a route needs an idempotency key.

/// Rule of a route about idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdempotencyKeyRequirement {
    /// A caller may send one.
    #[default]
    Optional,
    /// A request without one is refused.
    Required,
}
