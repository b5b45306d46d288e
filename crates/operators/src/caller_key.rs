//! API keys of callers.

use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};
use hawthornquay_decisions::KeyDigest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::{hex, random_bytes::random_bytes};

/// Prefix that lets secret scanners detect leaked keys.
const KEY_PREFIX: &str = "hq_";

/// Generates a key with 256 random bits.
///
/// # Errors
///
/// Returns an error if the operating system provides no random bytes.
pub fn generate_caller_key() -> std::io::Result<String> {
    let encoded = BASE64_URL_SAFE_NO_PAD.encode(random_bytes()?);
    Ok(format!("{KEY_PREFIX}{encoded}"))
}

/// Computes the HMAC-SHA256 of a caller key with the salt of the bundle as the HMAC key.
///
/// # Panics
///
/// Does not panic, because HMAC accepts a key of any length.
pub fn caller_key_digest(salt: &[u8], key: &str) -> KeyDigest {
    let mut mac = Hmac::<Sha256>::new_from_slice(salt).expect("HMAC accepts a key of any length");
    mac.update(key.as_bytes());
    KeyDigest(mac.finalize().into_bytes().into())
}

/// Returns the digest in hexadecimal, as in the field `digest` of a bundle.
pub fn key_digest_text(digest: &KeyDigest) -> String {
    hex::encode(&digest.0)
}
