//! Trusted signers and the verification of signatures.

use base64::{Engine, prelude::BASE64_STANDARD};
use ed25519_dalek::{Signature, VerifyingKey};
use hawthornquay_decisions::{Bundle, Set, Signer};

use crate::{BundleDigest, BundleHead, BundleSignature, SignatureError};

/// Prefix of signed messages, so that signatures by the same key for other purposes are not valid
/// for bundles.
const SIGNATURE_CONTEXT: &[u8] = b"hawthornquay bundle v1\0";

/// Trusted signers and the number of signatures that a bundle needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// Operators whose signatures are accepted.
    pub signers: Vec<Signer>,
    /// Number of signatures by different signers that a bundle needs; zero counts as one.
    pub signatures_needed: u32,
}

impl Trust {
    /// Returns the trust against which the successor of `bundle` is checked.
    pub fn of_predecessor(bundle: &Bundle) -> Self {
        Self {
            signers: bundle.signers.clone(),
            signatures_needed: bundle.signatures_needed,
        }
    }

    /// Checks the signatures of a head.
    ///
    /// # Errors
    ///
    /// Returns an error if too few signatures by different signers are valid.
    pub fn verify_head(&self, head: &BundleHead) -> Result<(), SignatureError> {
        self.verify(head.version, &head.digest, &head.signatures)
    }

    /// Checks the signatures of a version and digest.
    ///
    /// # Errors
    ///
    /// Returns an error if too few signatures by different signers are valid.
    pub fn verify(
        &self,
        version: u64,
        digest: &BundleDigest,
        signatures: &[BundleSignature],
    ) -> Result<(), SignatureError> {
        let message = signed_message(version, digest);
        let mut keys = Set::default();
        let mut rejected = Vec::new();
        for signature in signatures {
            match self.valid_key(&message, signature) {
                // Several signatures with the same key count once.
                Some(key) => {
                    keys.insert(key);
                }
                None => rejected.push(signature.signer.clone()),
            }
        }
        let valid = u32::try_from(keys.len()).unwrap_or(u32::MAX);
        let needed = self.signatures_needed.max(1);
        if valid >= needed {
            return Ok(());
        }
        Err(SignatureError::TooFew {
            version,
            valid,
            needed,
            rejected,
        })
    }

    /// Returns the public key of the signer if the signature is valid.
    fn valid_key(&self, message: &[u8], signature: &BundleSignature) -> Option<[u8; 32]> {
        let signer = self
            .signers
            .iter()
            .find(|signer| signer.name == signature.signer)?;
        let key = VerifyingKey::from_bytes(&signer.public_key).ok()?;
        let bytes = BASE64_STANDARD.decode(&signature.signature).ok()?;
        let signature = Signature::from_slice(&bytes).ok()?;
        key.verify_strict(message, &signature).ok()?;
        Some(signer.public_key)
    }
}

/// Returns the bytes that a signature covers.
pub(crate) fn signed_message(version: u64, digest: &BundleDigest) -> Vec<u8> {
    [SIGNATURE_CONTEXT, &version.to_be_bytes(), &digest.0].concat()
}
