//! Keyed hash of an idempotency key.

use hawthornquay_decisions::OrganisationId;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Prefix of the keys of claims in the store; the hash follows.
const STORE_PREFIX: &str = "claims/";

/// Keyed hash of an organisation and its idempotency key.
///
/// The store may lie in a region that the organisation's residency excludes. It therefore receives
/// only the hash.
#[derive(Clone, Debug)]
pub struct ClaimKey {
    salt: Vec<u8>,
    digest: [u8; 32],
}

impl ClaimKey {
    /// Hashes an idempotency key with the salt of the bundle.
    pub fn new(salt: &[u8], organisation: &OrganisationId, key: &str) -> Self {
        let digest = keyed_hash(
            salt,
            &[b"claim", organisation.as_str().as_bytes(), key.as_bytes()],
        );
        Self {
            salt: salt.to_vec(),
            digest,
        }
    }

    /// Returns the key of the claim's entry in the store.
    pub fn store_key(&self) -> String {
        let hex: String = self
            .digest
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        format!("{STORE_PREFIX}{hex}")
    }

    /// Returns a keyed hash of a request, which detects the reuse of an idempotency key for a
    /// different request.
    pub fn fingerprint(&self, method: &str, path: &str, body: &[u8]) -> u64 {
        let parts = [
            self.digest.as_slice(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ];
        let digest = keyed_hash(&self.salt, &parts);
        digest
            .iter()
            .take(8)
            .fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

/// Hashes each part with its length, so that different lists of parts never give the same input.
fn keyed_hash(salt: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(salt).expect("HMAC takes a key of any length");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}
