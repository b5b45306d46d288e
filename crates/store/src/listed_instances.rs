//! Instance list of the platform.

use hawthornquay_decisions::InstanceRecord;
use serde::Deserialize;

/// Instances as the platform knew them a while ago.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedInstances {
    /// Age of the list, in milliseconds.
    pub lag_ms: u64,
    /// Instances in the order of their names.
    pub instances: Vec<InstanceRecord>,
}
