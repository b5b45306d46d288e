//! Digest of a bundle.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::hex;

/// SHA-256 digest of a bundle's canonical form; its text form is hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BundleDigest(pub [u8; 32]);

/// Error of a text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct InvalidDigest;

impl BundleDigest {
    /// Computes the digest of a canonical form.
    pub fn of(canonical: &str) -> Self {
        Self(Sha256::digest(canonical.as_bytes()).into())
    }
}

impl fmt::Display for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0))
    }
}

impl fmt::Debug for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for BundleDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let bytes = hex::decode(text).ok_or(InvalidDigest)?;
        Ok(Self(bytes.try_into().map_err(|_| InvalidDigest)?))
    }
}

impl TryFrom<String> for BundleDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        text.parse()
    }
}

impl From<BundleDigest> for String {
    fn from(digest: BundleDigest) -> Self {
        digest.to_string()
    }
}
