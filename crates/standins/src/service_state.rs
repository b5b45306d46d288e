//! State of a plain service under its lock.

use std::collections::BTreeMap;

use crate::ServiceFaults;

/// Runs by request id, load and faults of a plain service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) faults: ServiceFaults,
    pub(crate) keys_seen: u64,
    /// Load reports given so far.
    pub(crate) reports: u64,
    pub(crate) running: usize,
    pub(crate) runs: BTreeMap<String, u64>,
}
