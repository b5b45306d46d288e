//! Token counts and prefix identifiers of prompts.

use sha2::{Digest, Sha256};

const BYTES_PER_TOKEN: usize = 4;
const KV_BLOCK_BYTES: usize = 1024;
const PREFIX_ID_BYTES: usize = 8;

/// Number of tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// Returns the number of tokens of a prompt: one per four bytes, rounded up.
pub fn count_prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the identifiers of the prefixes of `prompt`, one per complete block, shortest first.
///
/// An identifier is the first 16 hexadecimal digits of the SHA-256 of the model's name, a zero
/// byte and the prompt up to the end of the block.
pub fn prompt_prefixes(model: &str, prompt: &str) -> Vec<String> {
    let mut hasher = Sha256::new();
    hasher.update(model.as_bytes());
    hasher.update([0]);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            let digest = hasher.clone().finalize();
            digest[..PREFIX_ID_BYTES]
                .iter()
                .fold(String::new(), |id, byte| id + &format!("{byte:02x}"))
        })
        .collect()
}

/// Returns the exported content, 1 KiB, of the last cache block of `prefix`.
///
/// The content is derived from the identifier, so that an import can detect a wrong block.
pub fn kv_block(prefix: &str) -> Vec<u8> {
    Sha256::digest(prefix).repeat(KV_BLOCK_BYTES / 32)
}
