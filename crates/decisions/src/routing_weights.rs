//! Routing settings of the bundle.

use std::time::Duration;

/// Settings by which a deployment trades latency against the share of requests that is forwarded to
/// other regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingWeights {
    /// Time by which the estimated local time to the first token must exceed the estimate for
    /// another region, so that a request is forwarded there. The latter includes `path_cost`.
    pub send_away_margin: Duration,
    /// Time added to the estimate of a domain of another region, for the network path.
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
