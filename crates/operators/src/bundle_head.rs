//! Head of the accepted bundle.

use serde::{Deserialize, Serialize};

use crate::{BundleDigest, BundleSignature};

/// Value of `bundle/head` in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleHead {
    /// Version in force.
    pub version: u64,
    /// Digest of its canonical form.
    pub digest: BundleDigest,
    /// Digest of its predecessor; none for the first bundle.
    pub previous: Option<BundleDigest>,
    /// Number of parts that its content is stored in.
    pub parts: u32,
    /// Signatures by signers of its predecessor.
    pub signatures: Vec<BundleSignature>,
}
