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
    pub(crate) directory: BTreeMap<String, Bytes>,
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
            counters: PlatformCounters::default(),
            directory: BTreeMap::new(),
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
            ..self.counters
        }
    }
}
