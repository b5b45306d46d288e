//! List of instances that the platform maintains.

use hawthornquay_decisions::InstanceRecord;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Snapshot of the platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListedInstances {
    /// Age of the snapshot, in milliseconds.
    pub lag_ms: u64,
    /// Instances, sorted by name. Records that do not have the expected form are left out.
    #[serde(deserialize_with = "readable_records")]
    pub instances: Vec<InstanceRecord>,
}

/// Decodes the records of instances and leaves out those that do not have the expected form, so
/// that one of them does not make the others unreadable.
fn readable_records<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<InstanceRecord>, D::Error> {
    let records = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let read = |record: Box<RawValue>| serde_json::from_str(record.get()).ok();
    Ok(records.into_iter().filter_map(read).collect())
}
