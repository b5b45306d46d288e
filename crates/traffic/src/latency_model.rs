//! Prediction of a backend server's time to the first byte.

use std::time::Duration;

use crate::{PrefillRate, SlotTime};

/// Initial estimate of the time to the first byte of an idle plain service, in milliseconds.
const PLAIN_BASE_MS: f64 = 20.0;

/// Weight of the newest response in the moving average of the correction factor.
const CORRECTION_SMOOTHING: f64 = 0.1;

/// Range of the correction factor. A server slower than the upper bound is failing, not just slow.
const CORRECTION_RANGE: std::ops::RangeInclusive<f64> = 0.6..=8.0;

/// What a server does before the first byte of a response.
#[derive(Clone, Copy, Debug)]
pub struct FirstByteWork {
    /// Prompt tokens that it prefills: those of the request, and those queued before it.
    pub prefill_tokens: u64,
    /// Requests that occupy its slots or wait for one.
    pub requests: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Mean time that a request occupies a slot.
    pub slot_time: SlotTime,
    /// Pace of its machine; 1 is the usual one.
    pub pace: f64,
    /// Prefill rate of the service's engines at the usual pace.
    pub rate: PrefillRate,
}

/// Prediction of a server's time to the first byte, scaled by a correction factor learned from its
/// responses.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    engine: bool,
    correction: f64,
}

impl LatencyModel {
    /// Builds the latency model of a model engine or a plain service.
    pub const fn new(engine: bool) -> Self {
        Self {
            engine,
            correction: 1.0,
        }
    }

    /// Sets whether the server is a model engine; a change resets the correction factor.
    pub const fn set_engine(&mut self, engine: bool) {
        if self.engine != engine {
            *self = Self::new(engine);
        }
    }

    /// Returns the predicted time to the first byte, in milliseconds.
    ///
    /// `work` is what the server does before that.
    pub fn predict_ms(&self, work: &FirstByteWork) -> f64 {
        self.correction * self.predict_uncorrected_ms(work)
    }

    /// Updates the correction factor from a measured time and its uncorrected prediction.
    pub fn observe(&mut self, took: Duration, uncorrected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / uncorrected_ms.max(1.0);
        self.correction += CORRECTION_SMOOTHING * (ratio - self.correction);
        self.correction = self
            .correction
            .clamp(*CORRECTION_RANGE.start(), *CORRECTION_RANGE.end());
    }

    /// Returns the prediction of [`Self::predict_ms`] without the correction factor, in
    /// milliseconds.
    pub fn predict_uncorrected_ms(&self, work: &FirstByteWork) -> f64 {
        let slots = work.slots.max(1);
        let waiting = f64::from((work.requests + 1).saturating_sub(slots));
        if self.engine {
            let prefill_ms = work.prefill_tokens as f64 / work.rate.tokens_per_ms();
            let wait_ms = waiting * work.slot_time.mean_ms() / f64::from(slots);
            work.pace * (work.rate.base_ms() + prefill_ms) + wait_ms
        } else {
            work.pace * PLAIN_BASE_MS * (1.0 + waiting / f64::from(slots))
        }
    }
}
