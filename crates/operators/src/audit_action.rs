//! What an operator did.

use serde::{Deserialize, Serialize};

/// Action that leaves an audit record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// A bundle was accepted.
    BundleAccepted,
}
