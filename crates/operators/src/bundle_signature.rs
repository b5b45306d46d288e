//! Signature of a bundle.

use serde::{Deserialize, Serialize};

/// Signature of one operator over the version and digest of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BundleSignature {
    /// Name of the signer.
    pub signer: String,
    /// ed25519 signature, in base64.
    pub signature: String,
}
