//! Listed backend server with its load, health and latency.

use std::time::Duration;

use hawthornquay_decisions::{DomainName, MonotonicTime, Set};

use crate::{
    BackendEntry, ColdStartLimiter, EventRate, FirstByteWork, LatencyModel, PlacementRequest,
    RecentPrefixes, ServerHealth, ServerLoad, ServerPace, ServerPick, StoreRevision,
    StreamPrediction, cold_servers::Doubt, paused_servers::RequestPause,
    request_limit::RequestLimit, server_ramp::ServerRamp, server_selection::is_long_stream,
    service_model::ServiceModel,
};

/// Share of a server's slots in use above which its score gets a penalty. Filling the last slots of
/// an engine slows all its streams.
const CONGESTION_SLOT_SHARE: f64 = 0.8;

/// Weight of the time to prefill a shared prefix that is not cached, in addition to the time
/// itself. The prefill also delays the requests queued behind, and its tokens are charged for. With
/// a smaller weight, more requests go to servers that have to prefill the shared prefix again.
const CACHE_MISS_WEIGHT: f64 = 4.0;

/// Penalty in the score of a server for each of its streams that pauses for too long, in milliseconds.
const LATE_STREAM_MS: f64 = 300.0;

/// Shares of the target gap between two events: when the prompts queued at a server take the first to
/// prefill, its streams begin to pause for too long, and with the second all of them do.
const PAUSE_GAP_SHARES: (f64, f64) = (0.25, 1.25);

/// Maximum age of the stated pace of a server with which a long stream is placed there without asking
/// for a newer one.
const MAX_PACE_AGE: Duration = Duration::from_millis(150);

/// Penalty in the score of a server whose failure ratio is 1, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Listed backend server with its load, health, warm-up state, latency and cached prefixes.
pub(crate) struct ListedServer {
    pub(crate) entry: BackendEntry,
    pub(crate) load: ServerLoad,
    pub(crate) health: ServerHealth,
    pub(crate) cold: ColdStartLimiter,
    /// Ramp-up after a start or a recovery.
    pub(crate) ramp: ServerRamp,
    /// End of the cold time that the server has stated to an instance of the region.
    pub(crate) stated_cold_until: MonotonicTime,
    /// Time of the first list of this process if that contained the server: its entry may have been
    /// written before the server became cold.
    pub(crate) first_listed_at: Option<MonotonicTime>,
    /// Doubt whether the server is still what it was.
    pub(crate) doubt: Option<Doubt>,
    /// Limit on the requests of all instances that the server has stated.
    pub(crate) limit: RequestLimit,
    /// Time for which the server wants no requests from this instance.
    pub(crate) pause: RequestPause,
    pub(crate) latency: LatencyModel,
    pub(crate) pace: ServerPace,
    /// Events of the streams of this instance that run at the server.
    pub(crate) events: EventRate,
    pub(crate) prefixes: RecentPrefixes,
    /// End of the grace period of a server that is missing from the list after a store outage and
    /// may not have registered again yet; `None` for a listed server.
    pub(crate) kept_until: Option<MonotonicTime>,
    /// Time before which the server gets no requests: its entry may be of an older copy of the store
    /// and the server gone.
    pub(crate) usable_from: MonotonicTime,
    /// Store revision of the list that last added or changed the server.
    pub(crate) changed_at: StoreRevision,
}

impl ListedServer {
    /// Returns whether the server accepts new requests.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.entry.leaving
            && now >= self.usable_from
            && !self.health.in_backoff(now)
            && self.kept_until.is_none_or(|until| now < until)
    }

    /// Returns whether the server may run the request, apart from its cold-start limit.
    ///
    /// A server that was unreachable gets one request at a time until it responds successfully.
    pub(crate) fn is_candidate(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        evacuated: &Set<DomainName>,
    ) -> bool {
        self.entry.service == *req.service
            && self.is_usable(now)
            && self.takes_requests(now)
            && (req.is_local)(&self.entry.domain)
            && !evacuated.contains(&self.entry.domain)
            && !req.excluded_servers.contains(&self.entry.id)
            && !(self.health.was_unreachable() && self.load.own_requests > 0)
    }

    /// Returns the weight of the server in the choice of servers, where `exponent` is that of its
    /// usual pace.
    pub(crate) fn pace_weight(&self, now: MonotonicTime, exponent: i32) -> f64 {
        match exponent {
            0 => 1.0,
            exponent => self.pace.usual(now).powi(-exponent),
        }
    }

    /// Returns the predicted time to the first byte of an empty prompt, in milliseconds.
    pub(crate) fn empty_prompt_ms(&self, now: MonotonicTime, model: &ServiceModel) -> f64 {
        self.latency
            .predict_ms(&self.first_byte_work(now, 0, model))
    }

    /// Returns what the server does before the first byte of a response to a request with `tokens`
    /// prompt tokens.
    fn first_byte_work(
        &self,
        now: MonotonicTime,
        tokens: u64,
        model: &ServiceModel,
    ) -> FirstByteWork {
        FirstByteWork {
            prefill_tokens: self.load.pending(now) + tokens,
            requests: self.load.requests(now),
            slots: self.entry.slots,
            slot_time: model.slot_time,
            pace: self.pace.expected(now),
            rate: model.prefill_rate,
        }
    }

    /// Returns the predicted course of the stream that answers a request; `None` before streams of
    /// the service have shown their length and rate.
    fn predict_stream(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        model: &ServiceModel,
    ) -> Option<StreamPrediction> {
        let pace = self.pace.usual(now);
        let service_ms = model.streams.recent_interval_ms(now)? * pace;
        let interval_ms = self.events.interval_ms(now, service_ms);
        Some(StreamPrediction {
            events: model.streams.expected_events(req.work.output_tokens)?,
            interval_ms,
            unloaded_interval_ms: model.streams.unloaded_interval_ms(pace),
        })
    }

    /// Returns the score of the server for a request, and the pick that goes with it.
    ///
    /// The score is the predicted time to the first byte in milliseconds, plus penalties; the
    /// server with the lowest score is the best. At servers that state their pace, the streams that
    /// would pause for too long count as well. `cached` says whether the server is expected to have the
    /// shared prefix in its cache.
    pub(crate) fn score(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        cached: bool,
        model: &ServiceModel,
    ) -> (f64, ServerPick) {
        let shared = if cached { req.work.shared_tokens() } else { 0 };
        let uncached_tokens = req.work.prompt_tokens.saturating_sub(shared);
        let work = self.first_byte_work(now, uncached_tokens, model);
        let requests = work.requests;
        let expected_ms = self.latency.predict_ms(&work);
        let slot_use = f64::from(requests) / f64::from(work.slots.max(1));
        let congestion_penalty = if slot_use > CONGESTION_SLOT_SHARE {
            expected_ms * (slot_use - CONGESTION_SLOT_SHARE)
        } else {
            0.0
        };
        let tokens_per_ms = model.prefill_rate.tokens_per_ms();
        let cache_miss_penalty = if cached {
            0.0
        } else {
            CACHE_MISS_WEIGHT * req.work.shared_tokens() as f64 / tokens_per_ms
        };
        let stream = self.predict_stream(now, req, model);
        let delay_penalty = match req.target_event_gap {
            Some(gap) if model.is_paced => {
                let prefill_ms = work.pace * work.prefill_tokens as f64 / tokens_per_ms;
                f64::from(requests) * LATE_STREAM_MS * late_share(prefill_ms, gap)
            }
            _ => 0.0,
        };
        // Slot use adds 5 ms for full slots, which favours the less loaded of two servers with
        // similar predictions.
        let score = expected_ms
            + cache_miss_penalty
            + congestion_penalty
            + delay_penalty
            + slot_use * 5.0
            + self.health.failure_ratio(now) * FAILURE_PENALTY_MS;
        let pick = ServerPick {
            id: self.entry.id.clone(),
            address: self.entry.address,
            expected_latency: Duration::from_secs_f64(expected_ms / 1_000.0),
            uncorrected_ms: self.latency.predict_uncorrected_ms(&work),
            stream,
            gives_way: model.urgent_streams.has_precedence(
                now,
                req.route_priority,
                req.target_latency,
            ),
            prefill_tokens: work.prefill_tokens,
            pace: model.is_paced.then_some(work.pace),
            is_pace_unknown: is_long_stream(req, model)
                && self.pace.is_stated()
                && self.pace.age(now) > MAX_PACE_AGE,
            requests,
            is_cold: self.cold.is_cold(now),
            is_limited: self.limit.per_s().is_some(),
            uncached_tokens,
            copy_from: None,
        };
        (score, pick)
    }
}

/// Returns the share of a server's streams that pause for longer than `gap` while it prefills prompts
/// for `prefill_ms`.
fn late_share(prefill_ms: f64, gap: Duration) -> f64 {
    let gap_ms = (gap.as_secs_f64() * 1_000.0).max(1.0);
    let (first, all) = PAUSE_GAP_SHARES;
    ((prefill_ms / gap_ms - first) / (all - first)).clamp(0.0, 1.0)
}
