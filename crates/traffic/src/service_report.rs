//! Load of a service in one region.

use std::time::Duration;

/// Load of a service in one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceReport {
    /// Number of warm backend servers that accept new requests.
    pub servers: u32,
    /// Number of their free slots, that is, requests that they could run in addition.
    pub free_slots: u32,
    /// Expected time to the first byte of a request with an empty prompt at the best of them.
    pub expected_latency: Duration,
    /// Share of the region's own requests that are to go to other regions, in thousandths.
    pub offload_permille: u32,
    /// Mean time between two events of the streams of its backend servers, converted to the pace 1; zero
    /// if unknown.
    pub event_interval: Duration,
}

impl ServiceReport {
    /// Builds the report of a service without usable servers.
    pub const fn empty() -> Self {
        Self {
            servers: 0,
            free_slots: 0,
            expected_latency: Duration::MAX,
            offload_permille: 0,
            event_interval: Duration::ZERO,
        }
    }
}
