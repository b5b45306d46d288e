//! Time-outs of calls.

use std::time::Duration;

/// Time-outs of calls to the platform.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Maximum time to open a connection; has to be shorter than `call`.
    ///
    /// A call that fails to connect is known not to have been sent. If `call` expired first, the
    /// outcome of the call would count as unknown.
    pub connect: Duration,
    /// Maximum duration of a call, including the time to connect.
    pub call: Duration,
    /// Maximum time by which the response to a watch may exceed its waiting time.
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
