//! Keys of bundles and audit records in the store.

use crate::BundleDigest;

/// Key of the head in force.
pub const HEAD_KEY: &str = "bundle/head";
/// Prefix of the audit records.
pub const AUDIT_PREFIX: &str = "audit/";

pub(crate) fn content_key(digest: &BundleDigest, part: u32) -> String {
    format!("bundle/content/{digest}/{part}")
}

/// The digest keeps operators who race for one version from replacing each other's difference.
pub(crate) fn difference_key(version: u64, digest: &BundleDigest) -> String {
    format!("bundle/delta/{version}/{digest}")
}
