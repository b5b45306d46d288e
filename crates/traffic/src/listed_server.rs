//! Backend server of the list, with its load and health.

use std::time::Duration;

use hawthornquay_decisions::{DomainName, MonotonicTime, Set};

use crate::{
    BackendEntry, ColdStartLimiter, LatencyModel, PREFILL_TOKENS_PER_MS, PlacementRequest,
    RecentPrefixes, ServerHealth, ServerLoad, ServerPick,
};

/// Share of an engine's slots that may be filled before others are preferred; the last ones slow
/// all streams of the engine.
const COMFORT: f64 = 0.8;

/// Weight of the time to read a shared prefix again, beyond the time itself: it is also taken from
/// the requests behind, and priced. Of 0.7, 2 and 4, the last one served best on both deployments.
const REREAD_WEIGHT: f64 = 4.0;

/// Penalty of a server for each certain failure, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Backend server with what this instance knows of it.
pub(crate) struct ListedServer {
    pub(crate) entry: BackendEntry,
    pub(crate) load: ServerLoad,
    pub(crate) health: ServerHealth,
    pub(crate) cold: ColdStartLimiter,
    pub(crate) latency: LatencyModel,
    pub(crate) prefixes: RecentPrefixes,
    /// Time until which the server is used although it is missing from the list, since it may not
    /// have registered again yet; `None` for a listed server.
    pub(crate) held_until: Option<MonotonicTime>,
}

impl ListedServer {
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.entry.leaving
            && !self.health.in_backoff(now)
            && self.held_until.is_none_or(|until| now < until)
    }

    pub(crate) fn is_candidate(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        evacuated: &Set<DomainName>,
    ) -> bool {
        self.entry.service == *req.service
            && self.is_usable(now)
            && (req.is_local)(&self.entry.domain)
            && !evacuated.contains(&self.entry.domain)
            && !req.excluded_servers.contains(&self.entry.id)
            && !(self.health.last_contact_failed() && self.load.own_requests > 0)
    }

    pub(crate) fn wait_ms(&self, now: MonotonicTime) -> f64 {
        let requests = self.load.requests(now);
        self.latency
            .predict_ms(self.load.pending(now), 0, requests, self.entry.slots)
    }

    pub(crate) fn assess(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        cached: bool,
    ) -> (f64, ServerPick) {
        let shared = if cached { req.work.shared_tokens() } else { 0 };
        let tokens = req.work.prompt_tokens.saturating_sub(shared);
        let requests = self.load.requests(now);
        let pending = self.load.pending(now);
        let slots = self.entry.slots;
        let expected = self.latency.predict_ms(pending, tokens, requests, slots);
        let crowding = f64::from(requests) / f64::from(slots.max(1));
        let crowded = if crowding > COMFORT {
            expected * (crowding - COMFORT)
        } else {
            0.0
        };
        let reread = if cached {
            0.0
        } else {
            REREAD_WEIGHT * req.work.shared_tokens() as f64 / PREFILL_TOKENS_PER_MS
        };
        let score = expected
            + reread
            + crowded
            + crowding * 5.0
            + self.health.failure_ratio(now) * FAILURE_PENALTY_MS;
        let pick = ServerPick {
            id: self.entry.id.clone(),
            address: self.entry.address,
            expected_latency: Duration::from_secs_f64(expected / 1_000.0),
            uncorrected_ms: self
                .latency
                .predict_uncorrected_ms(pending, tokens, requests, slots),
            requests,
            uncached_tokens: tokens,
            copy_from: None,
        };
        (score, pick)
    }
}
