//! One second of a load.

use serde::Serialize;

/// Requests that ended within one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadSecond {
    /// Right answers.
    pub right: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests that ended in any other way.
    pub other: u64,
    /// Times of the right answers, in microseconds.
    #[serde(skip)]
    pub total_us: Vec<u64>,
}

impl LoadSecond {
    /// Returns a quantile of the times, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.total_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        sorted
            .get(rank.saturating_sub(1))
            .map(|value| *value as f64 / 1000.0)
    }
}
