//! Mutable state of a model engine.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rustc_hash::FxHashMap;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    CacheEventKind, EngineCounters, EngineFaults, EngineLoad, EngineSettings,
    active_request::ActiveRequest, cache_event_log::CacheEventLog, engine_orders::EngineOrders,
    lagged_history::LaggedHistory, prefix_cache::PrefixCache,
};

/// Sort key in the queue: rank of the priority, then number of the arrival; lowest first.
pub(crate) type QueueKey = (u8, u64);

/// Slots, queue, prefix cache and load reports of a model engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) cache: PrefixCache,
    pub(crate) counters: EngineCounters,
    pub(crate) events: CacheEventLog,
    pub(crate) faults: EngineFaults,
    pub(crate) load_history: LaggedHistory<EngineLoad>,
    pub(crate) orders: EngineOrders,
    active: FxHashMap<String, Arc<ActiveRequest>>,
    last_arrival: u64,
    load: EngineLoad,
    prefill_free_at: Instant,
    queue_limit: usize,
    last_sequence: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<()>>,
}

impl EngineState {
    pub(crate) fn new(settings: &EngineSettings, now: Instant) -> Self {
        let load = EngineLoad {
            name: settings.name.clone(),
            slots: settings.slots,
            kv_capacity: settings.kv_capacity,
            prefill_tokens_per_s: settings.prefill_tokens_per_s,
            decode_ms: settings.decode_ms,
            ..EngineLoad::default()
        };
        let models = settings.models.clone();
        Self {
            cache: PrefixCache::new(settings.kv_capacity),
            counters: EngineCounters::default(),
            events: CacheEventLog::new(settings.event_delay, settings.event_gap_every),
            faults: EngineFaults::default(),
            load_history: LaggedHistory::new(settings.load_lag, now, load.clone()),
            orders: EngineOrders::new(settings.checks_fencing, settings.order_delay, models),
            active: FxHashMap::default(),
            last_arrival: 0,
            load,
            prefill_free_at: now,
            queue_limit: settings.queue_limit,
            last_sequence: 0,
            waiting: BTreeMap::new(),
        }
    }

    pub(crate) fn load(&self) -> &EngineLoad {
        &self.load
    }

    pub(crate) fn queue_is_full(&self) -> bool {
        self.waiting.len() >= self.queue_limit
    }

    /// Adds a request to the queue; the receiver resolves when a slot is assigned to it.
    pub(crate) fn enqueue(
        &mut self,
        now: Instant,
        priority_rank: u8,
        request: &Arc<ActiveRequest>,
    ) -> (QueueKey, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        self.last_arrival += 1;
        let key = (priority_rank, self.last_arrival);
        self.waiting.insert(key, tx);
        self.active.insert(request.id.clone(), Arc::clone(request));
        self.admit();
        self.record_load(now);
        (key, rx)
    }

    /// Removes a request from the queue, or frees its slot if it is running.
    pub(crate) fn release(&mut self, now: Instant, key: QueueKey, request: &Arc<ActiveRequest>) {
        if self.waiting.remove(&key).is_none() {
            self.load.running -= 1;
        }
        let held = self.active.get(&request.id);
        if held.is_some_and(|held| Arc::ptr_eq(held, request)) {
            self.active.remove(&request.id);
        }
        self.admit();
        self.record_load(now);
    }

    pub(crate) fn find_active(&self, id: &str) -> Option<Arc<ActiveRequest>> {
        self.active.get(id).map(Arc::clone)
    }

    /// Schedules the prefill of `tokens` after those already scheduled; returns its end.
    pub(crate) fn schedule_prefill(&mut self, now: Instant, tokens: u64) -> Instant {
        let seconds = tokens as f64 / self.load.prefill_tokens_per_s.max(1) as f64;
        let start = self.prefill_free_at.max(now);
        self.prefill_free_at = start + Duration::from_secs_f64(seconds);
        self.prefill_free_at
    }

    pub(crate) fn store_prefixes(&mut self, now: Instant, prefixes: &[String]) {
        let (stored, evicted) = self.cache.store(prefixes);
        for prefix in &evicted {
            self.events.push(now, CacheEventKind::Evicted, prefix);
        }
        for prefix in &stored {
            self.events.push(now, CacheEventKind::Stored, prefix);
        }
        self.record_load(now);
    }

    pub(crate) fn set_faults(&mut self, now: Instant, faults: EngineFaults) {
        self.faults = faults;
        self.record_load(now);
    }

    /// Assigns free slots to queued requests, in the order of the queue.
    fn admit(&mut self) {
        while self.load.running < self.load.slots {
            let Some((_, tx)) = self.waiting.pop_first() else {
                return;
            };
            // The slot counts as taken even if the receiver has been dropped: the request has left
            // the queue, so `release` frees its slot.
            self.load.running += 1;
            self.counters.started += 1;
            let _ = tx.send(());
        }
    }

    /// Returns the delayed load with the next sequence number, also if the load has not changed.
    pub(crate) fn next_report(&mut self, now: Instant) -> EngineLoad {
        self.last_sequence += 1;
        EngineLoad {
            sequence: self.last_sequence,
            ..self.load_history.lagged(now)
        }
    }

    fn record_load(&mut self, now: Instant) {
        self.load.waiting = self.waiting.len();
        self.load.kv_used = self.cache.used_tokens();
        self.load.leaving = self.faults.leaving;
        self.load_history.record(now, self.load.clone());
    }
}
