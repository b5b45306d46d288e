//! Results of one second of a load run.

use serde::Serialize;

/// Requests that ended within one second of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadSecond {
    /// Correct answers.
    pub right: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests with any other outcome.
    pub other: u64,
    /// Total times of the correct answers, in microseconds.
    #[serde(skip)]
    pub total_us: Vec<u64>,
}

impl LoadSecond {
    /// Returns the given quantile of the total times, in milliseconds; `None` if there are none.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let mut sorted = self.total_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * quantile).ceil() as usize;
        sorted
            .get(rank.saturating_sub(1))
            .map(|value| *value as f64 / 1000.0)
    }
}
