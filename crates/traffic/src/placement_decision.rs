//! Result of placing a request.

use std::time::Duration;

use hawthornquay_decisions::RegionName;

use crate::ServerPick;

/// What the expected course of its stream in the local region has against a request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamConcern {
    /// It would not end in time before the deadline.
    Deadline,
    /// Its events would be too far apart.
    Slow,
}

/// Where a request is sent, or why it is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send to a backend server of the local region.
    Server(ServerPick),
    /// Forward to an instance of another region.
    Region {
        /// Name of the region.
        name: RegionName,
        /// Predicted time to the first byte, network round trip included.
        expected_latency: Duration,
        /// Concern that is the only reason not to stay in the local region.
        concern: Option<StreamConcern>,
    },
    /// Refuse: no eligible backend server accepts requests.
    Unavailable,
    /// Refuse: the response would be too late.
    Overloaded {
        /// Predicted time to the first byte.
        expected_latency: Duration,
        /// Concern that is the only reason for the refusal.
        concern: Option<StreamConcern>,
    },
}
