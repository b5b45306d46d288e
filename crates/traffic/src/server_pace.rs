//! Pace that a backend server states: how long work takes on its machine.
//!
//! Pattern: servers that share their machines with others, or are of different speeds. The pace
//! changes within some tenths of a second around a value that stays, so a statement predicts the
//! next moments only while it is fresh, and the usual pace afterwards.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Number of the last statements from which the usual pace is taken. With an odd number, the median
/// is one of them, and short disturbances do not change it.
const STATEMENTS: usize = 9;

/// Time constant with which a statement loses its weight against the usual pace.
const STATEMENT_LIFETIME: Duration = Duration::from_millis(500);

/// Stated paces that are plausible, in percent. Others are ignored.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 5..=5_000;

/// Range of the paces that are used. A server that states less or more would get nearly all requests,
/// or none.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// Age of the last statement from which the usual pace approaches 1. Only requests bring new
/// statements, so a server that gets none because of its pace would never get any again.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(5);

/// Time constant with which the usual pace approaches 1 afterwards.
const USUAL_PACE_LIFETIME: Duration = Duration::from_secs(5);

/// Pace of one server: 1 means that work takes as long as usual on its kind of machine, 2 twice as
/// long.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerPace {
    last: [f64; STATEMENTS],
    count: usize,
    stated_at: MonotonicTime,
}

impl ServerPace {
    /// Records a statement in percent. Implausible statements are ignored.
    pub fn record(&mut self, now: MonotonicTime, percent: u32) {
        if !PLAUSIBLE_PERCENT.contains(&percent) {
            return;
        }
        let pace = f64::from(percent) / 100.0;
        self.last[self.count % STATEMENTS] = pace.clamp(*PACE_RANGE.start(), *PACE_RANGE.end());
        self.count += 1;
        self.stated_at = now;
    }

    /// Returns whether the server has stated its pace.
    pub const fn is_stated(&self) -> bool {
        self.count > 0
    }

    /// Returns the age of the last statement.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.stated_at)
    }

    /// Returns the median of the last statements, or 1 before the first; it approaches 1 while there are
    /// no new ones.
    pub fn usual(&self, now: MonotonicTime) -> f64 {
        let age = self.age(now).saturating_sub(MAX_STATEMENT_AGE);
        let weight = (-age.as_secs_f64() / USUAL_PACE_LIFETIME.as_secs_f64()).exp();
        1.0 + (self.median() - 1.0) * weight
    }

    fn median(&self) -> f64 {
        let known = self.count.min(STATEMENTS);
        if known == 0 {
            return 1.0;
        }
        let mut sorted = self.last;
        let sorted = &mut sorted[..known];
        sorted.sort_unstable_by(f64::total_cmp);
        sorted[(known - 1) / 2]
    }

    /// Returns the pace expected now: the last statement while it is fresh, and the usual pace
    /// later.
    pub fn expected(&self, now: MonotonicTime) -> f64 {
        let usual = self.usual(now);
        if self.count == 0 {
            return usual;
        }
        let last = self.last[(self.count - 1) % STATEMENTS];
        let age = now.since(self.stated_at).as_secs_f64() / STATEMENT_LIFETIME.as_secs_f64();
        usual + (last - usual) * (-age).exp()
    }
}
