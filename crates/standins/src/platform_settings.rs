//! Settings of the platform.

use std::time::Duration;

/// Settings of the platform; the fields are set before it starts.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Writes to the store that are answered a second.
    pub writes_per_s: u32,
    /// Reads of the store that are answered a second.
    pub reads_per_s: u32,
    /// Age of the instance list.
    pub list_lag: Duration,
    /// Size of each object of the weight store, in bytes.
    pub weight_bytes: usize,
    /// Speed of the weight store over all readers, in bytes a second.
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
