//! Audit record of an action.

use serde::{Deserialize, Serialize};

use crate::AuditAction;

/// Record that is stored under `audit/`.
///
/// It contains no names of organisations, because the store may be in a region that the residency
/// of an organisation does not allow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Operator or instance that performed the action.
    pub who: String,
    /// Action that was performed.
    #[serde(flatten)]
    pub action: AuditAction,
    /// Unix time in milliseconds, by the clock of the operator's machine or of the instance.
    pub when_ms: u64,
}
