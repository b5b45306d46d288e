//! Demand of one organisation at this instance.

use std::{collections::VecDeque, time::Duration};

use hawthornquay_decisions::MonotonicTime;

/// Time over which a rise of the demand shows.
const RISE: Duration = Duration::from_millis(700);

/// Time over which a sparse demand is remembered. An instance often gets a request or two of an
/// organisation in a second, and a shorter time would show chance in place of demand.
const MEMORY: Duration = Duration::from_millis(2_500);

/// Requests a second from which the newest second shows the demand well enough by itself.
const DENSE: f64 = 6.0;

/// Time during which the lowest published demand counts: that of a report on its way to every
/// instance (two status intervals within a region, one between regions and the path, 1 s), and
/// that for which totals are kept (0.6 s).
const PROPAGATION: Duration = Duration::from_millis(1_600);

/// Demand of one organisation at this instance, and what of it the others know.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    rising: f64,
    remembered: f64,
    requests: f64,
    updated: MonotonicTime,
    published: VecDeque<(MonotonicTime, f64)>,
}

impl DemandHistory {
    /// Counts the tokens that a caller asks for, whether or not they are admitted.
    pub fn record(&mut self, now: MonotonicTime, tokens: f64) {
        self.decay(now);
        self.rising += tokens / RISE.as_secs_f64();
        self.remembered += tokens / MEMORY.as_secs_f64();
        self.requests += 1.0 / MEMORY.as_secs_f64();
    }

    /// Returns the demand in tokens a second and remembers it as published.
    pub fn publish(&mut self, now: MonotonicTime) -> f64 {
        self.decay(now);
        let rate = if self.requests >= DENSE {
            self.rising
        } else {
            self.rising.max(self.remembered)
        };
        self.published.push_back((now, rate));
        while self
            .published
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= PROPAGATION)
        {
            self.published.pop_front();
        }
        rate
    }

    /// Returns the demand that every instance has heard of by now.
    ///
    /// It is the least that was published during the propagation time, so that a rise counts only
    /// once the others take it into account, and a fall counts at once.
    pub fn lowest_published(&self) -> f64 {
        self.published
            .iter()
            .map(|(_, rate)| *rate)
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    fn decay(&mut self, now: MonotonicTime) {
        let passed = now.since(self.updated).as_secs_f64();
        self.rising *= (-passed / RISE.as_secs_f64()).exp();
        let forgotten = (-passed / MEMORY.as_secs_f64()).exp();
        self.remembered *= forgotten;
        self.requests *= forgotten;
        self.updated = self.updated.max(now);
    }
}
