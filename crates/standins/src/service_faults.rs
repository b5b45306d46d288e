//! Injected faults of a plain service.

use serde::{Deserialize, Serialize};

use crate::AfterRun;

/// Faults that a test injects; an omitted field disables the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between the run and the response, in milliseconds.
    pub delay_ms: u64,
    /// Response after a run.
    pub after_run: AfterRun,
    /// Refuses new requests with status 503 and sets `leaving` in load reports.
    pub leaving: bool,
}
