//! Weights of routing in the bundle.

use std::time::Duration;

/// Weights by which a deployment trades latency against the share sent away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingWeights {
    /// Time by which the wait at home must exceed the far wait plus the path.
    pub send_away_margin: Duration,
    /// Time charged for the path to another region.
    pub path_cost: Duration,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            send_away_margin: Duration::from_millis(150),
            path_cost: Duration::from_millis(60),
        }
    }
}
