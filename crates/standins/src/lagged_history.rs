//! History of a state, for delayed reports.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// States from which the one as of `lag` ago is reported.
#[derive(Debug)]
pub(crate) struct LaggedHistory<T> {
    lag: Duration,
    states: VecDeque<(Instant, T)>,
}

impl<T: Clone> LaggedHistory<T> {
    /// Creates a history with `initial`, which is reported until a later state is `lag` old.
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

    /// Returns the state as of `lag` before `now`.
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
