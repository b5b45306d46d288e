//! Quantiles of a duration.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram whose values are in microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50: quantile_ms(0.5),
            p95: quantile_ms(0.95),
            p99: quantile_ms(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }

    /// Returns the quantiles of differences in microseconds, which may be negative.
    pub(crate) fn of_differences(differences: &[i64]) -> Self {
        let mut sorted = differences.to_vec();
        sorted.sort_unstable();
        let quantile_ms = |quantile: f64| {
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            sorted
                .get(rank.saturating_sub(1))
                .map_or(0.0, |value| *value as f64 / 1000.0)
        };
        Self {
            count: sorted.len() as u64,
            p50: quantile_ms(0.5),
            p95: quantile_ms(0.95),
            p99: quantile_ms(0.99),
            max: quantile_ms(1.0),
        }
    }
}
