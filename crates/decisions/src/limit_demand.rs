//! Recent demand of one organisation at one instance.

use std::time::Duration;

use crate::{LimitShare, MonotonicTime};

/// Moving average of the tokens charged minus those refunded; determines the size of loans.
///
/// At the end of each window, the tokens charged in it enter the average with a weight of 1/4.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitDemand {
    window_start: MonotonicTime,
    charged_in_window: u64,
    average_per_window: u64,
}

impl LimitDemand {
    const WINDOW: Duration = Duration::from_secs(1);

    /// Adds `amount` nanotokens of demand.
    pub(crate) fn charge(&mut self, amount: u64, now: MonotonicTime) {
        self.advance_windows(now);
        self.charged_in_window = self.charged_in_window.saturating_add(amount);
    }

    /// Subtracts `amount` nanotokens that were charged but not used.
    ///
    /// A part that exceeds the charges of the current window was charged in an earlier window. It
    /// is subtracted from the average with the weight of 1/4 that its charge had.
    pub(crate) fn refund(&mut self, amount: u64, now: MonotonicTime) {
        self.advance_windows(now);
        let charged_earlier = amount.saturating_sub(self.charged_in_window);
        self.charged_in_window = self.charged_in_window.saturating_sub(amount);
        self.average_per_window = self.average_per_window.saturating_sub(charged_earlier / 4);
    }

    /// Returns the average demand in millitokens per second.
    pub(crate) fn rate(&mut self, now: MonotonicTime) -> u64 {
        self.advance_windows(now);
        self.average_per_window
            / (LimitShare::NANOTOKENS_PER_TOKEN / LimitShare::MILLITOKENS_PER_TOKEN)
    }

    /// Closes the windows that ended up to `now`; after a gap of more than 64 windows, starts anew.
    fn advance_windows(&mut self, now: MonotonicTime) {
        let mut windows = now.since(self.window_start).as_micros() / Self::WINDOW.as_micros();
        if windows > 64 {
            *self = Self {
                window_start: now,
                ..Self::default()
            };
            return;
        }
        while windows > 0 {
            self.average_per_window =
                self.average_per_window - self.average_per_window / 4 + self.charged_in_window / 4;
            self.charged_in_window = 0;
            self.window_start = self.window_start + Self::WINDOW;
            windows -= 1;
        }
    }
}
