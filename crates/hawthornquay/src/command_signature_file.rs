//! File of a bundle's signatures.

use hawthornquay_operators::{BundleDigest, BundleDocument, BundleSignature};
use serde::{Deserialize, Serialize};

/// Signatures that operators collect next to a bundle before it is accepted.
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
    /// Starts without signatures.
    pub fn new(document: &BundleDocument) -> Self {
        Self {
            version: document.version(),
            digest: document.digest(),
            signatures: Vec::new(),
        }
    }

    /// Returns whether the signatures are of `document`.
    pub fn is_of(&self, document: &BundleDocument) -> bool {
        self.version == document.version() && self.digest == document.digest()
    }

    /// Adds a signature in place of an earlier one of the same signer.
    pub fn add(&mut self, signature: BundleSignature) {
        self.signatures
            .retain(|other| other.signer != signature.signer);
        self.signatures.push(signature);
    }
}
