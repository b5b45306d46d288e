//! Hash of a prompt prefix.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const HEX_DIGITS: usize = 16;

/// Hash that identifies a prompt prefix, written as 16 hexadecimal digits.
///
/// Any other text is hashed, so engines that name prefixes differently still work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Prompt bytes that one hash covers beyond the one before it.
    pub const BLOCK_BYTES: usize = 256;
    /// Prompt tokens in a block, at four bytes for each token.
    pub const BLOCK_TOKENS: u64 = 64;

    /// Returns the hashes of a prompt's prefixes, one for each whole block, shortest first.
    ///
    /// Each hash is the start of SHA-256 over the model's name and the text so far.
    pub fn of_prompt(model: &str, prompt: &[u8]) -> Vec<Self> {
        let mut hasher = Sha256::new();
        hasher.update(model.as_bytes());
        hasher.update([0]);
        prompt
            .chunks_exact(Self::BLOCK_BYTES)
            .map(|block| {
                hasher.update(block);
                Self::from_digest(&hasher.clone().finalize())
            })
            .collect()
    }

    fn from_digest(digest: &[u8]) -> Self {
        Self(
            digest
                .iter()
                .take(8)
                .fold(0, |hash, byte| hash << 8 | u64::from(*byte)),
        )
    }
}

impl From<String> for PrefixHash {
    fn from(text: String) -> Self {
        if text.len() == HEX_DIGITS
            && let Ok(hash) = u64::from_str_radix(&text, 16)
        {
            return Self(hash);
        }
        Self::from_digest(&Sha256::digest(text.as_bytes()))
    }
}

impl From<PrefixHash> for String {
    fn from(hash: PrefixHash) -> Self {
        format!("{:016x}", hash.0)
    }
}
