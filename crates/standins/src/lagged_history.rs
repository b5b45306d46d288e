//! Past states from which lagged reports are taken.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Keeps the states that a report with a lag may still have to show.
#[derive(Debug)]
pub(crate) struct LaggedHistory<T> {
    lag: Duration,
    states: VecDeque<(Instant, T)>,
}

impl<T: Clone> LaggedHistory<T> {
    /// Starts with `initial`, which is shown until a later state is old enough.
    pub(crate) fn new(lag: Duration, now: Instant, initial: T) -> Self {
        Self {
            lag,
            states: VecDeque::from([(now, initial)]),
        }
    }

    pub(crate) fn record(&mut self, now: Instant, state: T) {
        self.prune(now);
        self.states.push_back((now, state));
    }

    /// Returns the state as it was one lag ago.
    pub(crate) fn lagged(&mut self, now: Instant) -> T {
        self.prune(now);
        self.states[0].1.clone()
    }

    fn prune(&mut self, now: Instant) {
        while self.states.len() > 1 && self.states[1].0 + self.lag <= now {
            self.states.pop_front();
        }
    }
}
