//! Signature of a bundle.

use serde::{Deserialize, Serialize};

/// Signature of one operator over a bundle's version and digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BundleSignature {
    /// Name of the signer.
    pub signer: String,
    /// ed25519 signature in base64.
    pub signature: String,
}
