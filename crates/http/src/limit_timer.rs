//! Timer for the header time-out that follows changes of the limits.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};
use tokio::sync::watch;

use crate::ServerLimits;

/// Time by which a time-out is extended at its end. The runtime may run timers before it has looked
/// for data, for example after a pause of the process, and a request that has arrived must not be
/// reset.
const LAST_READ_DELAY: Duration = Duration::from_millis(20);

/// Timer of an HTTP/1.1 connection whose header time-out is extended if its limit is raised.
///
/// hyper applies the time-out that a connection began with, but callers rely on the present limit:
/// a connection that is closed earlier may break the next request.
#[derive(Clone, Debug)]
pub(crate) struct LimitTimer {
    limits: watch::Receiver<ServerLimits>,
    /// Time-out that hyper applies.
    header_timeout: Duration,
}

impl LimitTimer {
    /// Builds the timer of a connection whose time-out in hyper is `header_timeout`.
    pub(crate) const fn new(
        limits: watch::Receiver<ServerLimits>,
        header_timeout: Duration,
    ) -> Self {
        Self {
            limits,
            header_timeout,
        }
    }
}

impl Timer for LimitTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(LimitSleep {
            limits: self.limits.clone(),
            header_timeout: self.header_timeout,
            deadline,
            is_extended: false,
            timer: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }
}

/// Sleep until the deadline that results from the present header time-out.
struct LimitSleep {
    limits: watch::Receiver<ServerLimits>,
    header_timeout: Duration,
    deadline: Instant,
    /// Whether the sleep has been extended by [`LAST_READ_DELAY`].
    is_extended: bool,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl Future for LimitSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let header_timeout = self.limits.borrow().header_timeout;
            if header_timeout <= self.header_timeout {
                if self.is_extended {
                    return Poll::Ready(());
                }
                self.is_extended = true;
                let end = tokio::time::Instant::now() + LAST_READ_DELAY;
                self.timer.as_mut().reset(end);
                continue;
            }
            self.is_extended = false;
            let extension = header_timeout - self.header_timeout;
            self.header_timeout = header_timeout;
            self.deadline += extension;
            let deadline = self.deadline;
            self.timer.as_mut().reset(deadline.into());
        }
    }
}

impl Sleep for LimitSleep {}
