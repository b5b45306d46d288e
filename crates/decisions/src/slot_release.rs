//! Next step of handing back slots.

use std::time::Duration;

use crate::DomainSlots;

/// What a leaving slot holder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotRelease {
    /// Loans to others still run for this time.
    Wait(Duration),
    /// Write this entry by compare-and-swap, then adopt the slots again.
    Write(DomainSlots),
    /// No slot is held.
    Done,
}
