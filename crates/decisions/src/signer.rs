//! Operator who signs bundles.

/// Operator's name and ed25519 public key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Signer {
    /// Name of the operator.
    pub name: String,
    /// Public key.
    pub public_key: [u8; 32],
}
