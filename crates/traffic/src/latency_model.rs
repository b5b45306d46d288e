//! Prediction of the time to an answer.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond while it also generates; the engines' own
/// figure is 112 to 125 without generation.
pub const PREFILL_TOKENS_PER_MS: f64 = 95.0;

/// Time of an engine for the first token of an empty prompt, in milliseconds.
const ENGINE_BASE_MS: f64 = 60.0;

/// Time of a plain service for one request, in milliseconds, until it is known better.
const PLAIN_BASE_MS: f64 = 20.0;

/// Mean time for which a request occupies a full engine's slot, in milliseconds.
const ENGINE_TURN_MS: f64 = 1_500.0;

/// Weight of the newest answer in the correction.
const SMOOTHING: f64 = 0.1;

/// Range of the correction; beyond it a server counts as failing rather than slow.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.6..=8.0;

/// Prediction of the time to a server's answer, corrected by the times seen.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    engine: bool,
    correction: f64,
}

impl LatencyModel {
    /// Builds the model of a model engine or a plain service.
    pub const fn new(engine: bool) -> Self {
        Self {
            engine,
            correction: 1.0,
        }
    }

    /// Sets whether the server is a model engine; a change forgets the correction.
    pub const fn set_engine(&mut self, engine: bool) {
        if self.engine != engine {
            *self = Self::new(engine);
        }
    }

    /// Predicts the time to the first part of an answer, in milliseconds.
    ///
    /// `ahead_tokens` are to be read before the request's own `tokens`; `running` requests occupy
    /// the `slots`.
    pub fn predict_ms(&self, ahead_tokens: u64, tokens: u64, running: u32, slots: u32) -> f64 {
        self.correction * self.predict_uncorrected_ms(ahead_tokens, tokens, running, slots)
    }

    /// Takes the time that an answer took, beside the time predicted without correction.
    pub fn observe(&mut self, took: Duration, uncorrected_ms: f64) {
        let ratio = took.as_secs_f64() * 1_000.0 / uncorrected_ms.max(1.0);
        self.correction += SMOOTHING * (ratio - self.correction);
        self.correction = self
            .correction
            .clamp(*CORRECTION.start(), *CORRECTION.end());
    }

    /// Predicts without correction, in milliseconds.
    pub fn predict_uncorrected_ms(
        &self,
        ahead_tokens: u64,
        tokens: u64,
        running: u32,
        slots: u32,
    ) -> f64 {
        let slots = slots.max(1);
        let waiting = f64::from((running + 1).saturating_sub(slots));
        if self.engine {
            let reading = (ahead_tokens + tokens) as f64 / PREFILL_TOKENS_PER_MS;
            ENGINE_BASE_MS + reading + waiting * ENGINE_TURN_MS / f64::from(slots)
        } else {
            PLAIN_BASE_MS * (1.0 + waiting / f64::from(slots))
        }
    }
}
