//! Settings of the platform.

use std::time::Duration;

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Rate limit of writes to the store, per second.
    pub writes_per_s: u32,
    /// Rate limit of reads of the store, per second.
    pub reads_per_s: u32,
    /// Age of the instance list that is returned.
    pub list_lag: Duration,
    /// Size of each object of the weight store, in bytes.
    pub weight_bytes: usize,
    /// Throughput of the weight store, shared by all readers, in bytes per second.
    pub weight_bytes_per_s: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 400,
            reads_per_s: 2000,
            list_lag: Duration::from_millis(200),
            weight_bytes: 1024 * 1024,
            weight_bytes_per_s: 64 * 1024 * 1024,
        }
    }
}
