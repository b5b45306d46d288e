//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults that a test sets; a field left out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers 503 to every call.
    pub outage: bool,
    /// Number of writes whose answers are lost after they took effect.
    pub lose_answers: u64,
    /// Delay of each answer, after the call took effect, in milliseconds.
    pub delay_ms: u64,
    /// Age of the instance list, in milliseconds, in place of the one from the settings.
    pub list_lag_ms: Option<u64>,
    /// Answers no watch, not even when its time is over.
    pub hold_watches: bool,
}
