//! Failure to verify signatures.

/// Reason why signatures are not enough, or a signing key cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The text is no signing key.
    #[error("the text is no signing key: it must be 32 bytes in base64")]
    InvalidKey,
    /// Fewer valid signatures than needed.
    #[error(
        "version {version} has {valid} valid signatures of {needed} needed; rejected: {}",
        if rejected.is_empty() { "none".to_owned() } else { rejected.join(", ") }
    )]
    TooFew {
        /// Version that was signed.
        version: u64,
        /// Signatures by different trusted signers.
        valid: u32,
        /// Signatures that the trust asks for.
        needed: u32,
        /// Signers whose signatures do not count.
        rejected: Vec<String>,
    },
}
