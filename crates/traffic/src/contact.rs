//! Contact with another instance.

use hawthornquay_decisions::MonotonicTime;

/// Last message from an instance, and its backoff.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contact {
    /// Time of the last message from the instance.
    pub(crate) last_message_at: Option<MonotonicTime>,
    /// End of the backoff after the instance was unreachable.
    pub(crate) backoff_until: MonotonicTime,
    pub(crate) leaving: bool,
    pub(crate) incarnation: u64,
}
