//! Mutable state of a plain service.

use std::collections::BTreeMap;

use crate::ServiceFaults;

/// Runs by request id, load and injected faults of a plain service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) faults: ServiceFaults,
    pub(crate) keys_seen: u64,
    /// Number of load reports returned; the last sequence number.
    pub(crate) reports: u64,
    pub(crate) running: usize,
    pub(crate) runs: BTreeMap<String, u64>,
}
