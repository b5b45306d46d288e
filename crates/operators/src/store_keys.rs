//! Keys of bundles and audit records in the store.

use crate::BundleDigest;

/// Key of the head of the bundle in force.
pub const HEAD_KEY: &str = "bundle/head";
/// Prefix of the keys of audit records.
pub const AUDIT_PREFIX: &str = "audit/";

/// Returns the key of one part of a bundle's content.
pub(crate) fn content_key(digest: &BundleDigest, part: u32) -> String {
    format!("bundle/content/{digest}/{part}")
}

/// Returns the key of the difference from the predecessor.
///
/// It contains the digest, so that operators who submit different bundles with the same version do
/// not overwrite each other's difference.
pub(crate) fn difference_key(version: u64, digest: &BundleDigest) -> String {
    format!("bundle/delta/{version}/{digest}")
}

/// Returns the key that exists once instances had time to write back what the store lost when
/// `era` began.
pub fn era_marker_key(era: u64) -> String {
    format!("eras/{era}")
}
