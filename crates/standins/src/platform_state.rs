//! Mutable state of the platform.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    PlatformCounters, PlatformFaults, PlatformSettings, call_rate_limiter::CallRateLimiter,
    instance_list::InstanceList, kv_store::KvStore,
};

/// Store, instance list, client directory, rate limits and injected faults of the platform.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) counters: PlatformCounters,
    /// Copy of the store that [`Self::restore_store`] returns to.
    copy: Option<KvStore>,
    pub(crate) directory: BTreeMap<String, Bytes>,
    /// Number of times that the store came back from a copy.
    pub(crate) era: u64,
    pub(crate) faults: PlatformFaults,
    pub(crate) instances: InstanceList,
    pub(crate) read_rate: CallRateLimiter,
    pub(crate) store: KvStore,
    pub(crate) weights_free_at: Instant,
    pub(crate) write_rate: CallRateLimiter,
}

impl PlatformState {
    pub(crate) fn new(settings: &PlatformSettings, now: Instant) -> Self {
        Self {
            copy: None,
            counters: PlatformCounters::default(),
            directory: BTreeMap::new(),
            era: 0,
            faults: PlatformFaults::default(),
            instances: InstanceList::default(),
            read_rate: CallRateLimiter::new(settings.reads_per_s, now),
            store: KvStore::default(),
            weights_free_at: now,
            write_rate: CallRateLimiter::new(settings.writes_per_s, now),
        }
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        PlatformCounters {
            leases: self.store.lease_count() as u64,
            keys: self.store.key_count() as u64,
            revision: self.store.revision(),
            era: self.era,
            ..self.counters
        }
    }

    /// Keeps a copy of the store's entries, leases and counters; it replaces an earlier copy.
    pub(crate) fn copy_store(&mut self) {
        self.copy = Some(self.store.clone());
    }

    /// Returns the store to its last copy, which begins a new era; returns false without a copy.
    ///
    /// Leases keep the expiry that they had when the copy was made. Revisions and lease numbers
    /// given out since are given out again.
    pub(crate) fn restore_store(&mut self) -> bool {
        let Some(copy) = self.copy.clone() else {
            return false;
        };
        self.store = copy;
        self.era += 1;
        true
    }
}
