//! Where a request goes.

use std::time::Duration;

use hawthornquay_decisions::RegionName;

use crate::ServerPick;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// To a backend server of the own region.
    Server(ServerPick),
    /// To an instance of another region.
    Region {
        /// Region.
        name: RegionName,
        /// Predicted time to the first part of the answer, with the path.
        expected_latency: Duration,
    },
    /// Nowhere: no server that may run it takes requests.
    Unavailable,
    /// Nowhere: it could not be answered in time.
    Overloaded {
        /// Predicted time to the first part of the answer.
        expected_latency: Duration,
    },
}
