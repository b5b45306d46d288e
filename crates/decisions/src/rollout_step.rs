//! What an instance does with an offer.

/// Step that an instance takes after an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Fetches the whole content of a version, or of a later one.
    FetchContent {
        /// Least version that helps.
        version: u64,
    },
    /// Fetches the differences of the versions `first` to `last` and offers each in turn.
    ///
    /// `last` is what the offer claims; the fetch ends at the head that the store or the peer has.
    FetchDifferences {
        /// First version, one above the held one.
        first: u64,
        /// Last version.
        last: u64,
    },
    /// Drops the offer, because it is not newer than the held bundle.
    IgnoreNotNewer,
    /// Drops the offer, because its signatures or its digest do not hold.
    IgnoreUnverified,
    /// Puts the offered bundle in force.
    Install,
}
