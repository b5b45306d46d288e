//! Bundle with the head that vouches for it.

use hawthornquay_decisions::Bundle;
use hawthornquay_operators::{BundleDocument, BundleHead};

/// Checked bundle with its signed head.
#[derive(Clone, Debug)]
pub struct ActiveBundle {
    /// Head with the signatures.
    pub head: BundleHead,
    /// Text and typed bundle.
    pub document: BundleDocument,
}

impl ActiveBundle {
    /// Returns the typed bundle.
    pub fn bundle(&self) -> &Bundle {
        self.document.bundle()
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.document.version()
    }
}
