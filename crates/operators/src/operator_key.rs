//! Signing key of an operator.

use base64::{Engine, prelude::BASE64_STANDARD};
use ed25519_dalek::{Signer as _, SigningKey};

use crate::{
    BundleDigest, BundleSignature, SignatureError, random_bytes::random_bytes,
    trust::signed_message,
};

/// ed25519 key with which an operator signs bundles.
pub struct OperatorKey(SigningKey);

impl OperatorKey {
    /// Generates a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system provides no random bytes.
    pub fn generate() -> std::io::Result<Self> {
        Ok(Self(SigningKey::from_bytes(&random_bytes()?)))
    }

    /// Decodes a secret key from base64.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is not 32 bytes in base64.
    pub fn from_base64(text: &str) -> Result<Self, SignatureError> {
        let bytes = BASE64_STANDARD
            .decode(text.trim())
            .ok()
            .and_then(|bytes| <[u8; 32]>::try_from(bytes).ok())
            .ok_or(SignatureError::InvalidKey)?;
        Ok(Self(SigningKey::from_bytes(&bytes)))
    }

    /// Returns the secret key in base64.
    pub fn to_base64(&self) -> String {
        BASE64_STANDARD.encode(self.0.as_bytes())
    }

    /// Returns the public key in base64, as in the field `signer.<name>` of a bundle.
    pub fn public_base64(&self) -> String {
        BASE64_STANDARD.encode(self.0.verifying_key().as_bytes())
    }

    /// Returns the public key.
    pub fn public_bytes(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    /// Signs a version and digest. `signer` is the name of the key in the predecessor.
    pub fn sign(&self, signer: &str, version: u64, digest: &BundleDigest) -> BundleSignature {
        let signature = self.0.sign(&signed_message(version, digest));
        BundleSignature {
            signer: signer.to_owned(),
            signature: BASE64_STANDARD.encode(signature.to_bytes()),
        }
    }
}
