//! List of instances that the platform maintains.

use hawthornquay_decisions::InstanceRecord;
use serde::Deserialize;

/// Snapshot of the platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedInstances {
    /// Age of the snapshot, in milliseconds.
    pub lag_ms: u64,
    /// Instances, sorted by name.
    pub instances: Vec<InstanceRecord>,
}
