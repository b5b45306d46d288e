//! Prefix cache with a limited capacity.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::BLOCK_TOKENS;

/// Least-recently-used cache of prompt blocks.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    use_count: u64,
    last_use: FxHashMap<String, u64>,
    by_use: BTreeMap<u64, String>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_blocks: usize::try_from(capacity_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX),
            use_count: 0,
            last_use: FxHashMap::default(),
            by_use: BTreeMap::new(),
        }
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.last_use.len() as u64 * BLOCK_TOKENS
    }

    pub(crate) fn contains(&self, prefix: &str) -> bool {
        self.last_use.contains_key(prefix)
    }

    /// Returns the number of leading tokens of a prompt that are cached.
    pub(crate) fn cached_tokens(&self, prefixes: &[String]) -> u64 {
        let blocks = prefixes.iter().take_while(|prefix| self.contains(prefix));
        blocks.count() as u64 * BLOCK_TOKENS
    }

    /// Stores the blocks of a prompt; returns the newly stored and the evicted ones.
    pub(crate) fn store(&mut self, prefixes: &[String]) -> (Vec<String>, Vec<String>) {
        let kept = &prefixes[..prefixes.len().min(self.capacity_blocks)];
        let mut stored = Vec::new();
        // Prefixes are marked as used from the longest to the shortest, so that the longest is
        // evicted first: a block is useless if an earlier block of the same prompt is missing.
        for prefix in kept.iter().rev() {
            self.use_count += 1;
            match self.last_use.insert(prefix.clone(), self.use_count) {
                Some(previous) => drop(self.by_use.remove(&previous)),
                None => stored.push(prefix.clone()),
            }
            self.by_use.insert(self.use_count, prefix.clone());
        }
        stored.reverse();
        (stored, self.evict())
    }

    fn evict(&mut self) -> Vec<String> {
        let mut evicted = Vec::new();
        while self.last_use.len() > self.capacity_blocks {
            let Some((_, prefix)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&prefix);
            evicted.push(prefix);
        }
        evicted
    }
}
