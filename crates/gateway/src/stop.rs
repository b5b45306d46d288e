//! Progress of a graceful stop.

use std::{future::Future, sync::OnceLock, time::Duration};

use hawthornquay_decisions::MonotonicTime;
use tokio_util::sync::CancellationToken;

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    /// Time from which requests are run only if they end before the process with a margin.
    pub(crate) late_from: MonotonicTime,
    /// Time at which the requests that still run are ended.
    pub(crate) end: MonotonicTime,
}

/// Progress of a graceful stop.
#[derive(Default)]
pub(crate) struct Stop {
    times: OnceLock<StopTimes>,
    ended: CancellationToken,
}

impl Stop {
    /// Sets the times of the stop; only the first call has an effect.
    pub(crate) fn begin(&self, times: StopTimes) {
        self.times.get_or_init(|| times);
    }

    /// Ends the requests that still run.
    pub(crate) fn end_requests(&self) {
        self.ended.cancel();
    }

    /// Returns the time until the requests that still run are ended, and whether only late requests
    /// arrive; `None` if the process is not stopping.
    pub(crate) fn time_left(&self, time: MonotonicTime) -> Option<(Duration, bool)> {
        let times = self.times.get()?;
        Some((times.end.since(time), time >= times.late_from))
    }

    /// Returns the output of `future`, or `None` if the requests are ended first.
    pub(crate) async fn run_until_end<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        self.ended.run_until_cancelled(future).await
    }
}
