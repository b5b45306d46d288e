//! Sums of the prompt tokens for which capacity is reserved.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Maximum age of the sums. Adding up all promises for each request would take longer than the rest
/// of its placement.
const MAX_AGE: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug)]
struct ReservedSum {
    service: u32,
    urgency: u8,
    tokens: u64,
}

/// Prompt tokens for which capacity is reserved, by service and urgency.
#[derive(Clone, Debug)]
pub(crate) struct ReservedSums {
    computed_at: MonotonicTime,
    sums: Vec<ReservedSum>,
}

impl ReservedSums {
    /// Builds the sums of promises that are due at `now`, each with service, urgency and tokens.
    pub(crate) fn new(now: MonotonicTime, promises: impl Iterator<Item = (u32, u8, u64)>) -> Self {
        let mut sums: Vec<ReservedSum> = Vec::new();
        for (service, urgency, tokens) in promises {
            let known = sums
                .iter_mut()
                .find(|sum| (sum.service, sum.urgency) == (service, urgency));
            match known {
                Some(sum) => sum.tokens = sum.tokens.saturating_add(tokens),
                None => sums.push(ReservedSum {
                    service,
                    urgency,
                    tokens,
                }),
            }
        }
        Self {
            computed_at: now,
            sums,
        }
    }

    /// Returns whether the sums may be used at `now`.
    pub(crate) fn is_current(&self, now: MonotonicTime) -> bool {
        now >= self.computed_at && now.since(self.computed_at) < MAX_AGE
    }

    /// Returns the tokens of a service for requests that are at least as urgent as `urgency`.
    pub(crate) fn total(&self, service: u32, urgency: u8) -> u64 {
        self.sums
            .iter()
            .filter(|sum| sum.service == service && sum.urgency <= urgency)
            .fold(0, |total, sum| total.saturating_add(sum.tokens))
    }
}
