//! Next step of releasing all slots at shutdown.

use std::time::Duration;

use crate::DomainSlots;

/// Next step of a slot holder that shuts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotRelease {
    /// Wait for this time, after which the last loan to another instance has ended.
    Wait(Duration),
    /// Write this entry by compare-and-swap, then call [`crate::LimitTable::adopt_slots`] again.
    Write(DomainSlots),
    /// No slot is held.
    Done,
}
