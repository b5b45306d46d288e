//! Errors of signatures and signing keys.

/// Reason why signatures are refused or a signing key cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The text is not a signing key.
    #[error("the text is not a signing key: a key is 32 bytes in base64")]
    InvalidKey,
    /// There are fewer valid signatures than needed.
    #[error(
        "version {version} has {valid} valid signatures of {needed} needed; rejected: {}",
        if rejected.is_empty() { "none".to_owned() } else { rejected.join(", ") }
    )]
    TooFew {
        /// Version that was signed.
        version: u64,
        /// Number of valid signatures by different trusted signers.
        valid: u32,
        /// Number of signatures that are needed.
        needed: u32,
        /// Signers whose signatures are not valid.
        rejected: Vec<String>,
    },
}
