//! Step that follows the offer of a bundle.

/// Step that an instance takes for an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Fetches the whole content of the given version or of a later one.
    FetchContent {
        /// Lowest version to accept.
        version: u64,
    },
    /// Fetches the differences that lead to the versions `first` to `last`, and decides on each one
    /// as a new offer, in order.
    ///
    /// `last` is the version that the offer claims; fetching ends at the head that the store or the
    /// peer actually has.
    FetchDifferences {
        /// First version: that of the installed bundle plus one.
        first: u64,
        /// Last version.
        last: u64,
    },
    /// Ignores the offer, because it is not newer than the installed bundle.
    IgnoreNotNewer,
    /// Ignores the offer, because its signatures or its digest could not be verified.
    IgnoreUnverified,
    /// Installs the offered bundle.
    Install,
}
