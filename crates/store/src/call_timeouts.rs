//! Time limits of calls.

use std::time::Duration;

/// Time limits of the calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Longest time to connect; has to be shorter than `call`.
    ///
    /// A call that could not connect is known not to have been sent.
    pub connect: Duration,
    /// Longest time of a call, connecting included.
    pub call: Duration,
    /// Time by which the answer to a watch may exceed its waiting time.
    pub watch_margin: Duration,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            watch_margin: Duration::from_millis(500),
        }
    }
}
