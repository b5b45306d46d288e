//! Load of a service in one region.

use std::time::Duration;

/// Load of a service in one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceReport {
    /// Backend servers that take new requests.
    pub servers: u32,
    /// Requests that they can run at once and do not run now.
    pub free_slots: u32,
    /// Expected time of the best of them to the first part of an answer to a short request.
    pub expected_latency: Duration,
}

impl ServiceReport {
    /// Builds the report of a service without servers.
    pub const fn empty() -> Self {
        Self {
            servers: 0,
            free_slots: 0,
            expected_latency: Duration::MAX,
        }
    }
}
