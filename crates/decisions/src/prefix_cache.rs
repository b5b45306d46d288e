//! Prompt prefixes in the cache of one model engine.

use crate::{PrefixEvent, PrefixEventKind, PrefixEvents, PrefixHash, Set};

/// Upper bound of the prefixes tracked for one engine; bounds memory.
const MAX_PREFIXES: usize = 16_384;

/// Prompt prefixes that are known to be in the cache of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    stored: Set<PrefixHash>,
    last_sequence: Option<u64>,
}

impl PrefixCache {
    pub(crate) fn apply(&mut self, events: &PrefixEvents) {
        // The sequence went backwards: the engine restarted with an empty cache.
        if self.last_sequence.is_some_and(|last| events.next < last) {
            self.clear();
            self.last_sequence = None;
        }
        for event in &events.events {
            self.apply_event(event);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.stored.clear();
    }

    /// Returns the number of leading entries of `prefixes` that are cached.
    pub(crate) fn cached_blocks(&self, prefixes: &[PrefixHash]) -> u64 {
        prefixes
            .iter()
            .take_while(|prefix| self.stored.contains(*prefix))
            .count() as u64
    }

    fn apply_event(&mut self, event: &PrefixEvent) {
        if let Some(last) = self.last_sequence {
            if event.sequence <= last {
                return;
            }
            // A missing event may have been an eviction, so the prefixes tracked so far may be
            // gone.
            if event.sequence > last + 1 {
                self.clear();
            }
        }
        self.last_sequence = Some(event.sequence);
        match event.kind {
            PrefixEventKind::Stored if self.stored.len() < MAX_PREFIXES => {
                self.stored.insert(event.prefix);
            }
            PrefixEventKind::Stored => {}
            PrefixEventKind::Evicted => {
                self.stored.remove(&event.prefix);
            }
        }
    }
}
