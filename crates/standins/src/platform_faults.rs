//! Injected faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults that a test injects; an omitted field disables the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Responds with status 503 to every call except those under `/admin`.
    pub outage: bool,
    /// Number of successful writes whose responses are dropped after the write took effect.
    pub lose_answers: u64,
    /// Delay of each response after the call took effect, in milliseconds.
    pub delay_ms: u64,
    /// Age of the instance list, in milliseconds; overrides the setting.
    pub list_lag_ms: Option<u64>,
    /// Withholds the responses to watches, even after their wait time.
    pub hold_watches: bool,
}
