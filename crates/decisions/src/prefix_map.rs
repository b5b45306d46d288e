//! Prompt prefixes in the caches of all model engines.

use crate::{BackendName, Map, PrefixEvents, PrefixHash, prefix_cache::PrefixCache};

/// Prompt prefixes in the cache of each engine, derived from the cache events.
///
/// A prefix counts as cached only if the events show that it was stored and not evicted since.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    caches: Map<BackendName, PrefixCache>,
}

impl PrefixMap {
    /// Applies the events of one poll.
    ///
    /// A gap in the sequence numbers or a restart of the engine discards the prefixes recorded
    /// before it.
    pub fn apply(&mut self, engine: &BackendName, events: &PrefixEvents) {
        self.caches.entry(engine.clone()).or_default().apply(events);
    }

    /// Removes an engine, for example when its events could not be read.
    pub fn remove(&mut self, engine: &BackendName) {
        self.caches.remove(engine);
    }

    /// Returns the number of prompt tokens that are in the cache of an engine.
    ///
    /// `prefixes` are the prefixes of the prompt, shortest first.
    pub fn cached_tokens(&self, engine: &BackendName, prefixes: &[PrefixHash]) -> u64 {
        self.caches.get(engine).map_or(0, |cache| {
            cache.cached_blocks(prefixes) * PrefixHash::BLOCK_TOKENS
        })
    }
}
