//! Hash with the same result in every process.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Multiplier of the final mixing step, taken from the SplitMix64 generator.
const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// Returns a hash of `parts` that is the same in every process and instance.
pub fn stable_hash<T: AsRef<[u8]>>(parts: &[T]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in parts {
        hasher.write(part.as_ref());
        hasher.write_u8(0xff);
    }
    // The low bits of FxHasher are poorly distributed, and callers use the hash modulo a small
    // number.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 30)).wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> 31)
}
