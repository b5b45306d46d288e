//! Release of a slot by an instance that keeps running.

/// State of a slot that its holder releases for another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotHandover {
    /// No loan is granted or renewed; the slot is released when the earlier loans have ended.
    Draining,
    /// Nothing is spent, because a write that releases the slot may have reached the store.
    ///
    /// A write without an answer may still take effect, so only a snapshot of the store in which
    /// another instance or none holds the slot ends this state.
    Stopped,
}
