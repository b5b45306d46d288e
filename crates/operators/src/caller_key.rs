//! Callers' keys.

use base64::{Engine, prelude::BASE64_URL_SAFE_NO_PAD};
use hawthornquay_decisions::KeyDigest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::{hex, random_bytes::random_bytes};

/// Prefix by which scanners can find a key in text that should hold none.
const KEY_PREFIX: &str = "hq_";

/// Draws a new key with 256 random bits.
///
/// # Errors
///
/// Returns an error if the system gives no random bytes.
pub fn generate_caller_key() -> std::io::Result<String> {
    let encoded = BASE64_URL_SAFE_NO_PAD.encode(random_bytes()?);
    Ok(format!("{KEY_PREFIX}{encoded}"))
}

/// Computes HMAC-SHA256 of a key under the bundle's salt.
///
/// # Panics
///
/// Never: HMAC takes a salt of any length.
pub fn caller_key_digest(salt: &[u8], key: &str) -> KeyDigest {
    let mut mac = Hmac::<Sha256>::new_from_slice(salt).expect("HMAC takes a key of any length");
    mac.update(key.as_bytes());
    KeyDigest(mac.finalize().into_bytes().into())
}

/// Returns a digest as a bundle writes it.
pub fn key_digest_text(digest: &KeyDigest) -> String {
    hex::encode(&digest.0)
}
