//! Counters of the platform.

use serde::{Deserialize, Serialize};

/// Counters since the start of the platform, and the current contents of its store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Writes to the store that the rate limit admitted, including calls to leases.
    pub writes: u64,
    /// Reads of the store that the rate limit admitted, including watches.
    pub reads: u64,
    /// Watches that were started.
    pub watches: u64,
    /// Watches that are currently waiting.
    pub waiting_watches: u64,
    /// Writes refused by the rate limit.
    pub refused_writes: u64,
    /// Reads refused by the rate limit.
    pub refused_reads: u64,
    /// Calls refused during an injected outage.
    pub outage_refusals: u64,
    /// Responses to writes that an injected fault dropped.
    pub lost_answers: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Reads and writes of the client directory.
    pub directory_calls: u64,
    /// Bytes sent by the weight store.
    pub weight_bytes: u64,
    /// Leases that have not ended.
    pub leases: u64,
    /// Keys in the store.
    pub keys: u64,
    /// Revision of the store.
    pub revision: u64,
    /// Number of times that the store came back from a copy.
    pub era: u64,
}
