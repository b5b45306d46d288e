//! File with the signatures of a bundle.

use base64::{Engine, prelude::BASE64_STANDARD};
use hawthornquay_operators::{BundleDigest, BundleDocument, BundleSignature};
use serde::{Deserialize, Serialize};

/// Size of an ed25519 signature.
const SIGNATURE_BYTES: usize = 64;

/// Signatures of a bundle that operators collect in a file before the bundle is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureFile {
    /// Version that was signed.
    pub version: u64,
    /// Digest that was signed.
    pub digest: BundleDigest,
    /// Signatures, one for each signer.
    pub signatures: Vec<BundleSignature>,
}

impl SignatureFile {
    /// Creates a file without signatures for `document`.
    pub fn new(document: &BundleDocument) -> Self {
        Self {
            version: document.version(),
            digest: document.digest(),
            signatures: Vec::new(),
        }
    }

    /// Returns whether the signatures are for the version and digest of `document`.
    pub fn matches_document(&self, document: &BundleDocument) -> bool {
        self.version == document.version() && self.digest == document.digest()
    }

    /// Adds a signature and removes an earlier one by the same signer.
    pub fn add(&mut self, signature: BundleSignature) {
        self.signatures
            .retain(|other| other.signer != signature.signer);
        self.signatures.push(signature);
    }

    /// Returns the first signer whose signature is not base64 or has the wrong length, as after an
    /// incomplete copy.
    pub fn malformed_signer(&self) -> Option<&str> {
        let is_malformed = |signature: &&BundleSignature| {
            let bytes = BASE64_STANDARD.decode(&signature.signature);
            bytes.map_or(true, |bytes| bytes.len() != SIGNATURE_BYTES)
        };
        let found = self.signatures.iter().find(is_malformed)?;
        Some(&found.signer)
    }
}
