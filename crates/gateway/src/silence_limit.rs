//! Limit on the wait for the data of an attempt.

use std::{future::Future, pin::pin, time::Duration};

use hawthornquay_decisions::MonotonicTime;
use tokio::time::timeout;

use crate::gateway::now;

/// Interval at which it is checked whether a silent attempt can be replaced.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Limit on the wait for the data of an attempt.
///
/// A sound server may be silent for a while, so its attempt is only ended if another one can take
/// its place.
pub(crate) struct SilenceLimit<'a> {
    /// Time without data after which the attempt is replaced.
    pub(crate) max_silence: Duration,
    /// Time at which the wait ends in any case.
    pub(crate) deadline: MonotonicTime,
    /// Returns whether another attempt can be made.
    pub(crate) can_replace: &'a (dyn Fn() -> bool + Send + Sync),
}

impl SilenceLimit<'_> {
    /// Returns the output of `future`, or `None` if the limit is reached first.
    pub(crate) async fn wait<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        let mut wait = self.max_silence;
        loop {
            let left = self.deadline.since(now());
            match timeout(wait.min(left), &mut future).await {
                Ok(output) => return Some(output),
                Err(_) if wait >= left || (self.can_replace)() => return None,
                Err(_) => wait = SILENCE_CHECK_INTERVAL,
            }
        }
    }
}
