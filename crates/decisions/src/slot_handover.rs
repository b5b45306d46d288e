//! Handing back a slot while the instance goes on.

/// State of a slot on its way to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotHandover {
    /// No loan is granted or renewed, and those granted before still run.
    Draining,
    /// Nothing is spent, because a write that frees the slot may have reached the store.
    ///
    /// A write without an answer may still take effect, so only the store's entry ends this state.
    Stopped,
}
