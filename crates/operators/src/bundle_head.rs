//! Metadata of the bundle in force.

use serde::{Deserialize, Serialize};

use crate::{BundleDigest, BundleDocument, BundleSignature, LoadError, Trust};

/// Version, digest and signatures of the bundle in force: the value of `bundle/head` in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleHead {
    /// Version in force.
    pub version: u64,
    /// Digest of the canonical form.
    pub digest: BundleDigest,
    /// Digest of the predecessor; `None` for the first bundle.
    pub previous: Option<BundleDigest>,
    /// Number of parts in which the content is stored.
    pub parts: u32,
    /// Signatures by signers that the predecessor names.
    pub signatures: Vec<BundleSignature>,
}

impl BundleHead {
    /// Parses content from the store or another instance, and checks it against the digest and
    /// version of the head.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is not a valid bundle, or has another digest or version.
    pub fn read_content(&self, text: &str) -> Result<BundleDocument, LoadError> {
        let version = self.version;
        let document = BundleDocument::read(&format!("bundle of version {version}"), text)
            .map_err(|faults| LoadError::Invalid {
                version,
                source: Box::new(faults),
            })?;
        if document.digest() != self.digest || document.version() != version {
            return Err(LoadError::Mismatch { version });
        }
        Ok(document)
    }

    /// Verifies the signatures of the head, then parses and checks the content.
    ///
    /// `trust` comes from the instance's current bundle or, if it has none, from the settings. An
    /// instance with a bundle must not fall back to the settings, which may still name a signer
    /// that the bundle has removed.
    ///
    /// # Errors
    ///
    /// Returns an error if too few signatures are valid, or if the content does not match the head.
    pub fn verify_content(&self, text: &str, trust: &Trust) -> Result<BundleDocument, LoadError> {
        trust.verify_head(self)?;
        self.read_content(text)
    }
}
