//! Hash collections with a fast hasher.

/// Hash map with a fast, non-cryptographic hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;
