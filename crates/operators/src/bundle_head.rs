//! Head of the accepted bundle.

use serde::{Deserialize, Serialize};

use crate::{BundleDigest, BundleDocument, BundleSignature, LoadError, Trust};

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

impl BundleHead {
    /// Reads content from the store or a peer and checks that it is the one that the head names.
    ///
    /// # Errors
    ///
    /// Returns an error if the content is faulty, or has another digest or version.
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

    /// Reads content and checks the signatures too.
    ///
    /// `trust` is that of the held bundle or, for an instance without one, of the settings. An
    /// instance with a bundle does not fall back to the settings, which may still name a signer
    /// that the bundle has dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the signatures are not enough, or the content is not the one named.
    pub fn verify_content(&self, text: &str, trust: &Trust) -> Result<BundleDocument, LoadError> {
        trust.verify_head(self)?;
        self.read_content(text)
    }
}
