//! Audit record of an action.

use serde::{Deserialize, Serialize};

use crate::AuditAction;

/// Record kept in the store under `audit/`.
///
/// It names no organisation, because the store may be in a region that a residency does not
/// allow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Operator, or identity of the instance, that acted.
    pub who: String,
    /// What was done.
    #[serde(flatten)]
    pub action: AuditAction,
    /// Unix time in milliseconds, on the clock of the one who acted.
    pub when_ms: u64,
}
