//! Faults of a plain service.

use serde::{Deserialize, Serialize};

use crate::AfterRun;

/// Faults that a test sets; a field left out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between the run and the answer, in milliseconds.
    pub delay_ms: u64,
    /// What follows a run.
    pub after_run: AfterRun,
    /// Refuses new requests with 503 and reports that the service is leaving.
    pub leaving: bool,
}
