//! Identifier of a bundle.

/// Version and digest, which together identify one bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BundleId {
    /// Version number of the bundle.
    pub version: u64,
    /// SHA-256 digest of the bundle's canonical form.
    pub digest: [u8; 32],
}
