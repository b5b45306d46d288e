//! Prediction of a backend server's time to the first byte.

use std::time::Duration;

use crate::SlotTime;

/// Prompt tokens that an engine prefills per millisecond while it also generates output. The
/// figure that the engines give for prefill without generation is 112 to 125.
pub const PREFILL_TOKENS_PER_MS: f64 = 95.0;

/// Time that an engine takes to the first token of an empty prompt, in milliseconds.
const ENGINE_BASE_MS: f64 = 60.0;

/// Initial estimate of the time to the first byte of an idle plain service, in milliseconds.
const PLAIN_BASE_MS: f64 = 20.0;

/// Weight of the newest response in the moving average of the correction factor.
const CORRECTION_SMOOTHING: f64 = 0.1;

/// Range of the correction factor. A server slower than the upper bound is failing, not just slow.
const CORRECTION_RANGE: std::ops::RangeInclusive<f64> = 0.6..=8.0;

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
    /// The server prefills `queued_tokens` before the `tokens` of the request, and `running`
    /// requests occupy its `slots`, on average for `slot_time` each.
    pub fn predict_ms(
        &self,
        queued_tokens: u64,
        tokens: u64,
        running: u32,
        slots: u32,
        slot_time: SlotTime,
    ) -> f64 {
        let uncorrected_ms =
            self.predict_uncorrected_ms(queued_tokens, tokens, running, slots, slot_time);
        self.correction * uncorrected_ms
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
    pub fn predict_uncorrected_ms(
        &self,
        queued_tokens: u64,
        tokens: u64,
        running: u32,
        slots: u32,
        slot_time: SlotTime,
    ) -> f64 {
        let slots = slots.max(1);
        let waiting = f64::from((running + 1).saturating_sub(slots));
        if self.engine {
            let prefill_ms = (queued_tokens + tokens) as f64 / PREFILL_TOKENS_PER_MS;
            ENGINE_BASE_MS + prefill_ms + waiting * slot_time.mean_ms() / f64::from(slots)
        } else {
            PLAIN_BASE_MS * (1.0 + waiting / f64::from(slots))
        }
    }
}
