//! Candidate for a request.

use crate::RoutingDecision;

/// Times within which two candidates count as equal, absolute and as a share of the better one.
const NEAR_TIE_SECONDS: f64 = 0.02;
const NEAR_TIE_SHARE: f64 = 0.25;

/// Server or domain that could take a request.
#[derive(Clone, Debug)]
pub(crate) struct RoutingCandidate {
    /// Estimated time to the first token, with the path.
    pub(crate) seconds: f64,
    /// Whether it has a long queue.
    pub(crate) is_full: bool,
    /// Decision that chooses it.
    pub(crate) decision: RoutingDecision,
}

impl RoutingCandidate {
    /// Returns the best candidate, or a random one of the best two if they are nearly equal.
    ///
    /// Instances share a lagging view; without the random choice all would send to one server.
    pub(crate) fn choose(mut candidates: Vec<Self>, random: u64) -> Option<Self> {
        candidates.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
        let mut best = candidates.into_iter();
        let first = best.next()?;
        match best.next() {
            Some(second) if first.nearly_ties(&second) && random % 2 == 1 => Some(second),
            _ => Some(first),
        }
    }

    fn nearly_ties(&self, worse: &Self) -> bool {
        let tie = (self.seconds * NEAR_TIE_SHARE).max(NEAR_TIE_SECONDS);
        worse.seconds - self.seconds <= tie
    }
}
