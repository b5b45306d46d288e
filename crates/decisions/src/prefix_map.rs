//! Prefixes in the caches of all engines.

use crate::{BackendName, Map, PrefixEvents, PrefixHash, prefix_cache::PrefixCache};

/// Prefix caches by engine, as far as their events tell.
///
/// A prefix that the events do not prove to be stored counts as not cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    caches: Map<BackendName, PrefixCache>,
}

impl PrefixMap {
    /// Applies the events of one poll.
    ///
    /// After a gap the state of the engine's cache is unknown and builds up anew.
    pub fn apply(&mut self, engine: &BackendName, events: &PrefixEvents) {
        self.caches.entry(engine.clone()).or_default().apply(events);
    }

    /// Forgets an engine's cache, such as after a restart.
    pub fn remove(&mut self, engine: &BackendName) {
        self.caches.remove(engine);
    }

    /// Returns how many prompt tokens the engine has cached.
    ///
    /// `prefixes` are the prompt's, shortest first.
    pub fn cached_tokens(&self, engine: &BackendName, prefixes: &[PrefixHash]) -> u64 {
        self.caches.get(engine).map_or(0, |cache| {
            cache.cached_blocks(prefixes) * PrefixHash::BLOCK_TOKENS
        })
    }
}
