//! Audit record of an operator's action.

use serde::{Deserialize, Serialize};

use crate::{AuditAction, BundleDigest};

/// Record kept in the store under `audit/<revision>`.
///
/// It names no organisation, because the store may be in a region that a residency does not
/// allow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// Operator who acted.
    pub who: String,
    /// What was done.
    pub what: AuditAction,
    /// Version of the bundle.
    pub version: u64,
    /// Digest of the bundle.
    pub digest: BundleDigest,
    /// Unix time in milliseconds, on the operator's clock.
    pub when_ms: u64,
}
