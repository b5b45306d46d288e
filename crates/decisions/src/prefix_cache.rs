//! Prefixes in one engine's cache.

use crate::{PrefixEvent, PrefixEventKind, PrefixEvents, PrefixHash, Set};

/// Most prefixes remembered for one engine, which bounds the memory of the map.
const PREFIXES: usize = 16_384;

/// Prefixes known to be in one engine's cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    stored: Set<PrefixHash>,
    last: Option<u64>,
}

impl PrefixCache {
    pub(crate) fn apply(&mut self, events: &PrefixEvents) {
        // The engine restarted: its numbers begin anew and its cache is empty.
        if self.last.is_some_and(|last| events.next < last) {
            self.forget();
            self.last = None;
        }
        for event in &events.events {
            self.apply_event(event);
        }
    }

    pub(crate) fn forget(&mut self) {
        self.stored.clear();
    }

    pub(crate) fn cached_blocks(&self, prefixes: &[PrefixHash]) -> u64 {
        prefixes
            .iter()
            .take_while(|prefix| self.stored.contains(*prefix))
            .count() as u64
    }

    fn apply_event(&mut self, event: &PrefixEvent) {
        if let Some(last) = self.last {
            if event.sequence <= last {
                return;
            }
            // A missing event may have been an eviction, so nothing known before still holds.
            if event.sequence > last + 1 {
                self.forget();
            }
        }
        self.last = Some(event.sequence);
        match event.kind {
            PrefixEventKind::Stored if self.stored.len() < PREFIXES => {
                self.stored.insert(event.prefix);
            }
            PrefixEventKind::Stored => {}
            PrefixEventKind::Evicted => {
                self.stored.remove(&event.prefix);
            }
        }
    }
}
