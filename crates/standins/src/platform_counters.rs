//! Counters of the platform.

use serde::{Deserialize, Serialize};

/// What the platform has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Writes to the store within the rate, leases included.
    pub writes: u64,
    /// Reads of the store within the rate, watches included.
    pub reads: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Writes refused because of the rate.
    pub refused_writes: u64,
    /// Reads refused because of the rate.
    pub refused_reads: u64,
    /// Calls refused because of an outage.
    pub outage_refusals: u64,
    /// Answers lost.
    pub lost_answers: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Reads and writes of the client directory.
    pub directory_calls: u64,
    /// Bytes sent by the weight store.
    pub weight_bytes: u64,
    /// Leases that have not expired.
    pub leases: u64,
    /// Keys in the store.
    pub keys: u64,
    /// Revision of the store.
    pub revision: u64,
}
