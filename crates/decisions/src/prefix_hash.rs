//! Hash of a prompt prefix.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const HEX_DIGITS: usize = 16;

/// Hash that identifies a prompt prefix; serialised as 16 hexadecimal digits.
///
/// When deserialised, any other text is hashed, so that engines with their own format of prefix
/// names are supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Bytes of a block: each hash covers one more block of the prompt than the hash before it.
    pub const BLOCK_BYTES: usize = 256;
    /// Estimated tokens of a block, at four bytes per token.
    pub const BLOCK_TOKENS: u64 = 64;

    /// Returns the hashes of the prefixes of a prompt, one per complete block, shortest first.
    ///
    /// Each hash is the first eight bytes of the SHA-256 of the model name, a zero byte and the
    /// prefix.
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
