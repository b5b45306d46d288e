//! Recovery of the store after it came back from an older copy.

/// Interval between two checks of the marker of a new era, in milliseconds.
pub const ERA_CHECK_INTERVAL_MS: u64 = 1_000;

/// Number of checks answered by the store before a new era counts as settled.
///
/// Within this time every instance that reaches the store learns of the era: its longest watch takes
/// 20.5 s. Each has then written back what it holds.
const CHECKS_BEFORE_SETTLING: u32 = 30;

/// Step that follows a check of the marker of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraCheckStep {
    /// Nothing to do until the next check.
    Wait,
    /// Write the marker of the era, because all instances had time to write back what they hold.
    WriteMarker,
}

/// Recovery of one era of the store, as seen by one instance.
///
/// When the store comes back from an older copy, it lacks what was written since. Until each
/// instance had time to write back what the store had confirmed to it, an absent entry proves
/// nothing. An instance that has seen the era for long enough writes a marker, by which all others,
/// also those that start later, know that the era is settled. Era 0 is settled from the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraRecovery {
    era: u64,
    checks: u32,
    settled: bool,
}

impl EraRecovery {
    /// Records the era of a response; returns whether a new era has begun.
    pub const fn observe(&mut self, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        *self = Self {
            era,
            checks: 0,
            settled: false,
        };
        true
    }

    /// Returns the latest era.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Returns whether nothing is missing any more that the store confirmed in earlier eras.
    pub const fn is_settled(&self) -> bool {
        self.settled || self.era == 0
    }

    /// Returns whether the marker of the era has been checked.
    pub const fn is_checked(&self) -> bool {
        self.is_settled() || self.checks > 0
    }

    /// Records that the store answered whether the marker of `era` exists.
    pub fn record_check(&mut self, era: u64, marker_exists: bool) -> EraCheckStep {
        if era != self.era {
            return EraCheckStep::Wait;
        }
        self.checks += 1;
        self.settled |= marker_exists;
        if !self.settled && self.checks > CHECKS_BEFORE_SETTLING {
            EraCheckStep::WriteMarker
        } else {
            EraCheckStep::Wait
        }
    }
}
