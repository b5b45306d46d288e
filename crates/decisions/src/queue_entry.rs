//! Entry of the fair queue.

use crate::{MonotonicTime, OrganisationId, Priority};

/// Request that waits until a backend server can take it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry<T> {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Priority class.
    pub priority: Priority,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Time from which its wait counts.
    pub waiting_since: MonotonicTime,
    /// Data that the instance needs to resume the request.
    pub item: T,
}
