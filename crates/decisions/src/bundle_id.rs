//! Version of a bundle with its digest.

/// Version and digest, which together identify one bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BundleId {
    /// Version.
    pub version: u64,
    /// SHA-256 of the canonical form.
    pub digest: [u8; 32],
}
