//! Request in the fair queue.

use crate::{MonotonicTime, OrganisationId, Priority};

/// Request that waits for a free server.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry<T> {
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// Priority.
    pub priority: Priority,
    /// Work that it asks for, in tokens.
    pub cost: u64,
    /// Time when it began to wait.
    pub waiting_since: MonotonicTime,
    /// What the instance needs to go on with it.
    pub item: T,
}
