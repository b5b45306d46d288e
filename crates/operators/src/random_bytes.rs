//! Random bytes from the operating system.

use rand::{TryRngCore, rngs::OsRng};

/// Returns 32 random bytes.
pub(crate) fn random_bytes() -> std::io::Result<[u8; 32]> {
    let mut bytes = [0; 32];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(std::io::Error::other)?;
    Ok(bytes)
}
