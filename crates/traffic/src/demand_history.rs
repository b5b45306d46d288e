//! Token demand of one organisation at this instance.

use std::{collections::VecDeque, time::Duration};

use hawthornquay_decisions::MonotonicTime;

/// Time constant of the fast average, which follows a rise of the demand.
const FAST_WINDOW: Duration = Duration::from_millis(700);

/// Time constant of the slow average. While requests are rare, the demand is the higher of the two
/// averages: an instance often receives only one or two requests of an organisation per second, and
/// the fast average alone would mostly show noise.
const SLOW_WINDOW: Duration = Duration::from_millis(2_500);

/// Minimum request rate, per second, at which the fast average alone is a good estimate of the
/// demand.
const FAST_AVERAGE_MIN_REQUESTS_PER_S: f64 = 6.0;

/// Window over which [`DemandHistory::lowest_published`] takes the minimum.
///
/// A report reaches every instance within 1 s: two status intervals within a region, one between
/// regions and the network latency. The window over which the lowest fleet total is used adds
/// 0.6 s.
const PUBLISHED_WINDOW: Duration = Duration::from_millis(1_600);

/// Token demand of one organisation at this instance, and the values that were published to the
/// other instances.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    /// Fast average, in tokens per second.
    fast_rate: f64,
    /// Slow average, in tokens per second.
    slow_rate: f64,
    /// Slow average of the requests per second.
    request_rate: f64,
    updated: MonotonicTime,
    published: VecDeque<(MonotonicTime, f64)>,
}

impl DemandHistory {
    /// Records the tokens of a request, admitted or not.
    pub fn record(&mut self, now: MonotonicTime, tokens: f64) {
        self.decay(now);
        self.fast_rate += tokens / FAST_WINDOW.as_secs_f64();
        self.slow_rate += tokens / SLOW_WINDOW.as_secs_f64();
        self.request_rate += 1.0 / SLOW_WINDOW.as_secs_f64();
    }

    /// Returns the demand in tokens per second, and records it as published at `now`.
    pub fn publish(&mut self, now: MonotonicTime) -> f64 {
        self.decay(now);
        let rate = if self.request_rate >= FAST_AVERAGE_MIN_REQUESTS_PER_S {
            self.fast_rate
        } else {
            self.fast_rate.max(self.slow_rate)
        };
        self.published.push_back((now, rate));
        while self
            .published
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= PUBLISHED_WINDOW)
        {
            self.published.pop_front();
        }
        rate
    }

    /// Returns the lowest demand published within `PUBLISHED_WINDOW`, in tokens per second.
    ///
    /// Every other instance has received at least this value by now: a rise counts only once all
    /// instances include it in their totals, and a fall counts immediately.
    pub fn lowest_published(&self) -> f64 {
        self.published
            .iter()
            .map(|(_, rate)| *rate)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.fast_rate *= (-elapsed / FAST_WINDOW.as_secs_f64()).exp();
        let slow_decay = (-elapsed / SLOW_WINDOW.as_secs_f64()).exp();
        self.slow_rate *= slow_decay;
        self.request_rate *= slow_decay;
        self.updated = self.updated.max(now);
    }
}
