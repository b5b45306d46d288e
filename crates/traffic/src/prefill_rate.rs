//! Prefill rate of the engines of a service, learned from their responses.
//!
//! Pattern: engines of another kind than those for which the defaults were measured. With a wrong
//! rate, a cache miss weighs too much or too little against a queue, and the waits at two servers
//! are compared wrongly.

/// Prompt tokens that an engine prefills per millisecond while it also generates output. The
/// figure that the first engines give for prefill without generation is 112 to 125.
pub const PREFILL_TOKENS_PER_MS: f64 = 95.0;

/// Time that an engine takes to the first token of an empty prompt, in milliseconds.
const ENGINE_BASE_MS: f64 = 60.0;

/// Factor by which the weight of earlier responses decreases with each new one.
const DECAY: f64 = 0.995;

/// Weight of the defaults, in responses.
const PRIOR_WEIGHT: f64 = 20.0;

/// Spread of the prompt lengths around their mean that the defaults stand for, in tokens.
const PRIOR_SPREAD: f64 = 4_000.0;

/// Mean prompt length that the defaults stand for, in tokens.
const PRIOR_MEAN: f64 = 5_000.0;

/// Range of the learned rate, in tokens per millisecond.
const RATE_RANGE: std::ops::RangeInclusive<f64> = 5.0..=2_000.0;

/// Range of the learned time to the first token of an empty prompt, in milliseconds.
const BASE_RANGE_MS: std::ops::RangeInclusive<f64> = 5.0..=500.0;

/// Time to the first token of a response as a linear function of the tokens to prefill, fitted by
/// least squares with exponential forgetting.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    weight: f64,
    sum_tokens: f64,
    sum_tokens_squared: f64,
    sum_ms: f64,
    sum_tokens_ms: f64,
    base_ms: f64,
    tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        let weight = PRIOR_WEIGHT;
        let squared = PRIOR_MEAN * PRIOR_MEAN + PRIOR_SPREAD * PRIOR_SPREAD;
        Self {
            weight,
            sum_tokens: weight * PRIOR_MEAN,
            sum_tokens_squared: weight * squared,
            sum_ms: weight * (ENGINE_BASE_MS + PRIOR_MEAN / PREFILL_TOKENS_PER_MS),
            sum_tokens_ms: weight * (ENGINE_BASE_MS * PRIOR_MEAN + squared / PREFILL_TOKENS_PER_MS),
            base_ms: ENGINE_BASE_MS,
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Records that the first token after `tokens` prompt tokens took `ms` milliseconds at the pace
    /// 1.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.sum_tokens = self.sum_tokens * DECAY + tokens;
        self.sum_tokens_squared = self.sum_tokens_squared * DECAY + tokens * tokens;
        self.sum_ms = self.sum_ms * DECAY + ms;
        self.sum_tokens_ms = self.sum_tokens_ms * DECAY + tokens * ms;
        let variance = self.weight * self.sum_tokens_squared - self.sum_tokens * self.sum_tokens;
        if variance <= f64::EPSILON {
            return;
        }
        let covariance = self.weight * self.sum_tokens_ms - self.sum_tokens * self.sum_ms;
        let ms_per_token =
            (covariance / variance).clamp(1.0 / RATE_RANGE.end(), 1.0 / RATE_RANGE.start());
        let base_ms = (self.sum_ms - ms_per_token * self.sum_tokens) / self.weight;
        self.tokens_per_ms = 1.0 / ms_per_token;
        self.base_ms = base_ms.clamp(*BASE_RANGE_MS.start(), *BASE_RANGE_MS.end());
    }

    /// Returns the time to the first token of an empty prompt, in milliseconds.
    pub const fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Returns the number of prompt tokens that are prefilled per millisecond.
    pub const fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }
}
