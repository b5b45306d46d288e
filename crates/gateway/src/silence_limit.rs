//! Limit on the wait for the data of an attempt.

use std::{future::Future, pin::pin, time::Duration};

use futures_util::future::BoxFuture;
use hawthornquay_decisions::MonotonicTime;
use tokio::time::timeout;

use crate::gateway::now;

/// Interval at which it is checked whether a silent attempt can be replaced.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a silent server that answers is asked again whether it runs a request.
pub(crate) const EVIDENCE_INTERVAL: Duration = Duration::from_millis(800);

/// Limit on the wait for the data of an attempt.
///
/// A sound server may be silent for a while, so its attempt is only ended if another one can take
/// its place and the server does not say that it runs the request.
pub(crate) struct SilenceLimit<'a> {
    /// Time without data after which the attempt is replaced.
    pub(crate) max_silence: Duration,
    /// Time at which the wait ends in any case.
    pub(crate) deadline: MonotonicTime,
    /// Returns whether another attempt can be made.
    pub(crate) can_replace: &'a (dyn Fn() -> bool + Send + Sync),
    /// Asks whether the request is known to run, so that it may not be replaced.
    pub(crate) is_running: &'a (dyn Fn() -> BoxFuture<'a, bool> + Send + Sync),
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
                Err(_) if wait >= left => return None,
                Err(_) if !(self.can_replace)() => wait = SILENCE_CHECK_INTERVAL,
                Err(_) => tokio::select! {
                    biased;
                    output = &mut future => return Some(output),
                    is_running = (self.is_running)() => match is_running {
                        true => wait = EVIDENCE_INTERVAL,
                        // The servers may have changed while this one was asked.
                        false if (self.can_replace)() => return None,
                        false => wait = SILENCE_CHECK_INTERVAL,
                    },
                },
            }
        }
    }
}
