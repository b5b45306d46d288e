//! Verified bundle with its signed head.

use hawthornquay_decisions::Bundle;
use hawthornquay_operators::{BundleDocument, BundleHead};

/// Bundle whose signatures and digest have been verified, with its signed head.
#[derive(Clone, Debug)]
pub struct ActiveBundle {
    /// Head: version, digest and signatures of the bundle.
    pub head: BundleHead,
    /// Canonical text and parsed content of the bundle.
    pub document: BundleDocument,
}

impl ActiveBundle {
    /// Returns the parsed content.
    pub fn bundle(&self) -> &Bundle {
        self.document.bundle()
    }

    /// Returns the version of the bundle.
    pub fn version(&self) -> u64 {
        self.document.version()
    }
}
