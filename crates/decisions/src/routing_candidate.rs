//! Backend server or domain that is considered for a request.

use crate::RoutingDecision;

/// Difference of the estimated times, in seconds, up to which two candidates always count as equal.
const NEAR_TIE_SECONDS: f64 = 0.02;
/// Difference of the estimated times up to which two candidates count as equal, as a share of the
/// shorter time.
const NEAR_TIE_SHARE_OF_BEST: f64 = 0.25;

/// Backend server or domain that could take a request.
#[derive(Clone, Debug)]
pub(crate) struct RoutingCandidate {
    /// Estimated time to the first token in seconds, including the cost of the network path.
    pub(crate) first_token_seconds: f64,
    /// Whether its queue or its KV cache has no room for the request.
    pub(crate) is_full: bool,
    /// Decision that sends the request there.
    pub(crate) decision: RoutingDecision,
}

impl RoutingCandidate {
    /// Returns the best candidate, or a random one of the best two if their times are nearly equal.
    ///
    /// All instances decide on the same lagging load reports. Without the random choice they would
    /// all send to the same server.
    pub(crate) fn choose(mut candidates: Vec<Self>, random: u64) -> Option<Self> {
        candidates.sort_by(|a, b| a.first_token_seconds.total_cmp(&b.first_token_seconds));
        let mut best = candidates.into_iter();
        let first = best.next()?;
        match best.next() {
            Some(second) if first.is_near_tie(&second) && random % 2 == 1 => Some(second),
            _ => Some(first),
        }
    }

    fn is_near_tie(&self, other: &Self) -> bool {
        let max_difference =
            (self.first_token_seconds * NEAR_TIE_SHARE_OF_BEST).max(NEAR_TIE_SECONDS);
        other.first_token_seconds - self.first_token_seconds <= max_difference
    }
}
