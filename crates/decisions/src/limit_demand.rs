//! Recent demand of an organisation at one instance.

use std::time::Duration;

use crate::{LimitShare, MonotonicTime};

/// Smoothed rate of net charges, which sizes loans.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitDemand {
    window: MonotonicTime,
    charged: u64,
    average: u64,
}

impl LimitDemand {
    const WINDOW: Duration = Duration::from_secs(1);

    /// Counts `amount` nanotokens of demand.
    pub(crate) fn charge(&mut self, amount: u64, now: MonotonicTime) {
        self.roll(now);
        self.charged = self.charged.saturating_add(amount);
    }

    /// Takes back demand that was reserved and not used.
    pub(crate) fn refund(&mut self, amount: u64, now: MonotonicTime) {
        self.roll(now);
        let rest = amount.saturating_sub(self.charged);
        self.charged = self.charged.saturating_sub(amount);
        self.average = self.average.saturating_sub(rest / 4);
    }

    /// Returns the demand in millitokens per second.
    pub(crate) fn rate(&mut self, now: MonotonicTime) -> u64 {
        self.roll(now);
        self.average / (LimitShare::NANOTOKENS_PER_TOKEN / LimitShare::MILLITOKENS_PER_TOKEN)
    }

    fn roll(&mut self, now: MonotonicTime) {
        let mut windows = now.since(self.window).as_micros() / Self::WINDOW.as_micros();
        if windows > 64 {
            *self = Self {
                window: now,
                ..Self::default()
            };
            return;
        }
        while windows > 0 {
            self.average = self.average - self.average / 4 + self.charged / 4;
            self.charged = 0;
            self.window = self.window + Self::WINDOW;
            windows -= 1;
        }
    }
}
