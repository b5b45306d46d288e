//! Prompt part with the crashes that count against it.

use crate::{AnswerStage, PartId};

/// Prompt part with the crashes that count against it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspect {
    pub(crate) part: PartId,
    /// Stage that an answer has to reach to clear the part of these crashes. A part that crashes servers
    /// does so at about the same point of each answer; others fail at any.
    pub(crate) stage: AnswerStage,
    /// Crashes that count, as a set of indexes into the list of crashes.
    pub(crate) crashes: u64,
    /// Crashes that count and are not close in time to the previous one of these.
    pub(crate) events: usize,
}

impl Suspect {
    /// Returns the number of crashes that count.
    pub(crate) const fn count(&self) -> u32 {
        self.crashes.count_ones()
    }
}
