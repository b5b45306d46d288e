//! Hash that all instances agree on.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Multiplier of the last mixing step, from the SplitMix64 generator.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;

/// Hashes `parts` to the same number in every process.
pub fn stable_hash<T: AsRef<[u8]>>(parts: &[T]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in parts {
        hasher.write(part.as_ref());
        hasher.write_u8(0xff);
    }
    // The low bits of the hasher are weak, and callers take remainders.
    let hash = hasher.finish();
    let hash = (hash ^ (hash >> 30)).wrapping_mul(MIX);
    hash ^ (hash >> 31)
}
