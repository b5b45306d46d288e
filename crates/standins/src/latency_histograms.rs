//! Latencies of the answers in a load run.

use hdrhistogram::Histogram;

use crate::{LatencyReport, Quantiles, load_result::LoadResult};

const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histograms of latencies, in microseconds.
#[derive(Debug)]
pub(crate) struct LatencyHistograms {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    total: Histogram<u64>,
}

impl LatencyHistograms {
    pub(crate) fn new() -> Self {
        let empty = || {
            Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("histogram bounds are valid")
        };
        Self {
            first_token: empty(),
            between_tokens: empty(),
            total: empty(),
        }
    }

    pub(crate) fn record(&mut self, result: &LoadResult) {
        let record = |histogram: &mut Histogram<u64>, time: std::time::Duration| {
            histogram.saturating_record(time.as_micros() as u64);
        };
        if let Some(time) = result.first_token {
            record(&mut self.first_token, time);
        }
        for gap in &result.token_gaps {
            record(&mut self.between_tokens, *gap);
        }
        record(&mut self.total, result.total);
    }

    pub(crate) fn report(&self) -> LatencyReport {
        LatencyReport {
            first_token_ms: Quantiles::of(&self.first_token),
            between_tokens_ms: Quantiles::of(&self.between_tokens),
            total_ms: Quantiles::of(&self.total),
        }
    }
}
