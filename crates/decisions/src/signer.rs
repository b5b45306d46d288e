//! Operator who signs bundles.

/// Name and Ed25519 public key of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name of the operator.
    pub name: String,
    /// Ed25519 public key.
    pub public_key: [u8; 32],
}
