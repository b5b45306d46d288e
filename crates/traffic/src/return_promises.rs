//! Capacity reserved for refused callers until the time at which they are to return.
//!
//! An instance that refuses a request for lack of engine capacity promises capacity for its return,
//! within bounds. The promises of a region are exchanged among its instances, since the caller may
//! return to any of them. A promise that is due lengthens the expected latency of other requests of
//! the same or lesser urgency, and the request that redeems it is admitted although its latency
//! target has passed. Times are sent as durations, since each process has its own clock.

use std::time::Duration;

use hawthornquay_decisions::{Map, MonotonicTime, ServiceName};

use crate::{
    PromiseReport, PromiseScope, ReportedPromise, ReturnKey, reserved_sums::ReservedSums,
    return_key::service_hash,
};

/// Maximum number of promises that an instance knows.
pub const MAX_PROMISES: usize = 4_096;

/// Maximum number of promises, and of redeemed keys, in one report. A record takes up to 31 bytes
/// on links of 10 Mbit/s, and the leader of a region sends it to every member.
pub const MAX_REPORTED_PROMISES: usize = 256;

/// Time before the stated time of return from which a promise is due. Callers may return early, and
/// engines need time to work off the queue to which the returning request is added.
pub const PROMISE_LEAD: Duration = Duration::from_millis(200);

/// Time after the stated time of return until which a promise is kept.
pub const PROMISE_GRACE: Duration = Duration::from_millis(600);

/// Time for which a promise is due.
const WINDOW: Duration = PROMISE_LEAD.saturating_add(PROMISE_GRACE);

/// Maximum share of the prompt tokens that the engines of a service prefill within a window that is
/// promised for any moment of it.
const MAX_PROMISED_SHARE: f64 = 0.25;

/// Maximum share of these tokens that is promised to one organisation.
const MAX_ORGANISATION_SHARE: f64 = 1.0 / 3.0;

/// Prompt tokens that may be promised for each token of a request that was admitted without a
/// promise. At most a quarter of the requests of one urgency are then returning ones. Without this
/// bound an overload may outlast its cause: returning requests fill the queue, so that all new ones
/// are refused and return as well.
const CREDIT_SHARE: f64 = 1.0 / 3.0;

/// Number of promises for which an instance may save credit, whatever its part of the bound.
const MIN_CREDIT_REQUESTS: f64 = 2.0;

/// Time after a refusal for which less urgent requests may not exceed their latency targets: two of
/// the intervals in which the load of engines is reported.
const REFUSAL_MEMORY: Duration = Duration::from_millis(600);

/// Time until all instances of the region know a promise: two status intervals.
const REPORT_TIME: Duration = Duration::from_millis(600);

/// Interval between the times of return that are tried, and resolution of the promised tokens.
const WINDOW_STEP: Duration = Duration::from_millis(100);

/// Maximum number of times of return that are tried for one request.
const MAX_STEPS: usize = 64;

/// Number of steps in a window.
const WINDOW_STEPS: usize = (WINDOW.as_micros() / WINDOW_STEP.as_micros()) as usize;

/// Maximum time until a reported promise ends; a later end is not plausible.
const MAX_ENDS_IN: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Promise {
    key: ReturnKey,
    tokens: u64,
    urgency: u8,
    until: MonotonicTime,
    /// Time at which this instance made the promise; `None` for one of another instance.
    made_at: Option<MonotonicTime>,
    is_redeemed: bool,
    is_redeemed_here: bool,
}

impl Promise {
    const fn due_from(&self) -> MonotonicTime {
        before(self.until, WINDOW)
    }

    fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.due_from() && now < self.until
    }
}

/// Prompt tokens promised in one step.
#[derive(Clone, Copy, Debug, Default)]
struct PromisedTokens {
    all: u64,
    /// Those promised to the organisation in question.
    organisation: u64,
    /// Those promised by this instance that others may not know of yet.
    unreported: u64,
}

/// Promises of the instances of a region.
#[derive(Debug, Default)]
pub struct ReturnPromises {
    promises: Map<u64, Promise>,
    /// Prompt tokens that the engines of each service prefill per millisecond, by the hash of the
    /// service.
    prefill_rates: Map<u32, f64>,
    /// Number of instances in the region.
    instances: usize,
    /// Prompt tokens that this instance may still promise, by service and urgency.
    credits: Map<(u32, u8), f64>,
    /// Time of the last refusal for lack of capacity, by service and urgency.
    refused_at: Map<(u32, u8), MonotonicTime>,
    /// Sums of the reserved tokens; `None` after a change.
    reserved: Option<ReservedSums>,
}

impl ReturnPromises {
    /// Sets the prompt tokens that the region's engines of each service prefill per millisecond, and
    /// the number of its instances.
    pub fn set_capacity<'a>(
        &mut self,
        prefill_rates: impl Iterator<Item = (&'a ServiceName, f64)>,
        instances: usize,
    ) {
        self.prefill_rates = prefill_rates
            .map(|(service, rate)| (service_hash(service), rate))
            .collect();
        self.instances = instances;
    }

    /// Records that a request that has not returned is sent to an engine, so that a part of its
    /// tokens may be promised to requests of the same urgency.
    pub fn record_admitted(&mut self, service: &ServiceName, urgency: u8, tokens: u64) {
        let service = service_hash(service);
        let Some(rate) = self.prefill_rate(service) else {
            return;
        };
        let tokens = tokens as f64;
        let part = max_promised(rate) / self.instances.max(1) as f64;
        let max_credit = part.max(MIN_CREDIT_REQUESTS * tokens);
        let credit = self.credits.entry((service, urgency)).or_default();
        *credit = (*credit + tokens * CREDIT_SHARE).min(max_credit);
    }

    /// Records that a request is refused for lack of capacity.
    pub fn record_refused(&mut self, now: MonotonicTime, service: &ServiceName, urgency: u8) {
        self.refused_at
            .insert((service_hash(service), urgency), now);
    }

    /// Returns whether a request that has redeemed its promise may be admitted although its latency
    /// target has passed. It may not while more urgent requests are refused, whose queue it would
    /// lengthen.
    pub fn may_exceed_target(
        &self,
        now: MonotonicTime,
        service: &ServiceName,
        urgency: u8,
    ) -> bool {
        let hash = service_hash(service);
        !self.refused_at.iter().any(|((service, other), at)| {
            *service == hash && *other < urgency && now.since(*at) < REFUSAL_MEMORY
        })
    }

    /// Promises capacity to a refused request, for its return at `due` or as soon as possible after
    /// it, but not after `latest`. Returns the time of return.
    ///
    /// Returns `None` if there is no room in the bounds, or if the request has returned already. An
    /// open promise to the same request is not replaced.
    pub fn promise(
        &mut self,
        now: MonotonicTime,
        key: ReturnKey,
        tokens: u64,
        urgency: u8,
        due: MonotonicTime,
        latest: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if let Some(known) = self.promises.get(&key.hash)
            && known.until > now
        {
            let due = before(known.until, PROMISE_GRACE);
            return (!known.is_redeemed && due > now && due <= latest).then_some(due);
        }
        if due > latest || self.promises.len() >= MAX_PROMISES {
            return None;
        }
        let credit = self.credits.get(&(key.service, urgency)).copied();
        let credit = credit.filter(|credit| *credit >= tokens as f64)?;
        let due = self.first_time_with_room(now, key, tokens, due, latest)?;
        self.credits
            .insert((key.service, urgency), credit - tokens as f64);
        self.promises.insert(
            key.hash,
            Promise {
                key,
                tokens,
                urgency,
                until: due + PROMISE_GRACE,
                made_at: Some(now),
                is_redeemed: false,
                is_redeemed_here: false,
            },
        );
        Some(due)
    }

    /// Redeems the promise with this key; returns whether there is one that is due.
    pub fn redeem(&mut self, now: MonotonicTime, key: ReturnKey) -> bool {
        let Some(promise) = self.promises.get_mut(&key.hash) else {
            return false;
        };
        if promise.is_redeemed || !promise.is_due(now) {
            return false;
        }
        promise.is_redeemed = true;
        promise.is_redeemed_here = true;
        self.reserved = None;
        true
    }

    /// Returns the prompt tokens of the promises of a service that are due, not redeemed, and at
    /// least as urgent as `urgency`.
    pub fn reserved_tokens(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        urgency: u8,
    ) -> u64 {
        if self.promises.is_empty() {
            return 0;
        }
        let reserved = match self.reserved.take() {
            Some(reserved) if reserved.is_current(now) => reserved,
            _ => self.sum_reserved(now),
        };
        let tokens = reserved.total(service_hash(service), urgency);
        self.reserved = Some(reserved);
        tokens
    }

    /// Returns the time that the region's engines take to prefill the reserved tokens that a request
    /// has to leave room for.
    ///
    /// A request that has redeemed its own promise leaves room only for more urgent ones.
    pub fn reserved_latency(
        &mut self,
        now: MonotonicTime,
        service: &ServiceName,
        urgency: u8,
        is_returning: bool,
    ) -> Duration {
        if self.promises.is_empty() {
            return Duration::ZERO;
        }
        let urgency = if is_returning {
            urgency.checked_sub(1)
        } else {
            Some(urgency)
        };
        let rate = self.prefill_rate(service_hash(service));
        let (Some(urgency), Some(rate)) = (urgency, rate) else {
            return Duration::ZERO;
        };
        let tokens = self.reserved_tokens(now, service, urgency) as f64;
        // The bound holds for the promises, but the engines may have become fewer since.
        let ms = (tokens / rate).min(WINDOW.as_secs_f64() * 1_000.0 * MAX_PROMISED_SHARE);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Returns the promises to report, those that end first if there are too many.
    pub fn to_report(&self, now: MonotonicTime, scope: PromiseScope) -> PromiseReport {
        let mut open: Vec<ReportedPromise> = Vec::new();
        let mut redeemed: Vec<(MonotonicTime, u64)> = Vec::new();
        for promise in self.promises.values().filter(|one| one.until > now) {
            let is_region = scope == PromiseScope::Region;
            if promise.is_redeemed {
                if is_region || promise.is_redeemed_here {
                    redeemed.push((promise.until, promise.key.hash));
                }
            } else if is_region || promise.made_at.is_some() {
                open.push(ReportedPromise {
                    key: promise.key,
                    tokens: promise.tokens,
                    urgency: promise.urgency,
                    ends_in: promise.until.since(now),
                });
            }
        }
        open.sort_unstable_by_key(|one| (one.ends_in, one.key.hash));
        open.truncate(MAX_REPORTED_PROMISES);
        redeemed.sort_unstable();
        redeemed.truncate(MAX_REPORTED_PROMISES);
        PromiseReport {
            open,
            redeemed: redeemed.into_iter().map(|(_, hash)| hash).collect(),
        }
    }

    /// Adds the promises that another instance of the region reports, as far as the bounds allow.
    ///
    /// The times of a known promise are not changed, since each report arrives with some delay.
    pub fn apply(&mut self, now: MonotonicTime, report: &PromiseReport) {
        for record in &report.open {
            let is_valid = !record.ends_in.is_zero() && record.ends_in <= MAX_ENDS_IN;
            let known = self.promises.get(&record.key.hash);
            if !is_valid
                || known.is_some_and(|known| known.until > now)
                || self.promises.len() >= MAX_PROMISES
            {
                continue;
            }
            let promise = Promise {
                key: record.key,
                tokens: record.tokens,
                urgency: record.urgency,
                until: now + record.ends_in,
                made_at: None,
                is_redeemed: false,
                is_redeemed_here: false,
            };
            if self.has_room_for(now, &promise) {
                self.promises.insert(record.key.hash, promise);
            }
        }
        for hash in &report.redeemed {
            if let Some(promise) = self.promises.get_mut(hash) {
                promise.is_redeemed = true;
            }
        }
        self.reserved = None;
    }

    /// Removes the promises that have ended. Returns the number of those that this instance made and
    /// that were not redeemed.
    pub fn expire(&mut self, now: MonotonicTime) -> usize {
        let mut expired = 0;
        self.promises.retain(|_, promise| {
            let is_kept = promise.until > now;
            expired += usize::from(!is_kept && promise.made_at.is_some() && !promise.is_redeemed);
            is_kept
        });
        self.refused_at
            .retain(|_, at| now.since(*at) < REFUSAL_MEMORY);
        self.reserved = None;
        expired
    }

    /// Returns the number of promises that have not been removed.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns whether there are no promises.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn prefill_rate(&self, service: u32) -> Option<f64> {
        let rate = self.prefill_rates.get(&service).copied();
        rate.filter(|rate| *rate > 0.0)
    }

    fn sum_reserved(&self, now: MonotonicTime) -> ReservedSums {
        let promises = self.promises.values();
        let due = promises.filter(|promise| !promise.is_redeemed && promise.is_due(now));
        let rows = due.map(|promise| (promise.key.service, promise.urgency, promise.tokens));
        ReservedSums::new(now, rows)
    }

    /// Returns the first of the times `due`, `due` + [`WINDOW_STEP`] and so on up to `latest` at which the
    /// request fits into the bounds.
    fn first_time_with_room(
        &self,
        now: MonotonicTime,
        key: ReturnKey,
        tokens: u64,
        due: MonotonicTime,
        latest: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let rate = self.prefill_rate(key.service)?;
        let later = latest.since(due).as_micros() / WINDOW_STEP.as_micros();
        let later = usize::try_from(later).map_or(MAX_STEPS, |later| later.min(MAX_STEPS));
        let start = before(due, PROMISE_LEAD);
        let steps = self.promised_tokens(now, key, start, later + WINDOW_STEPS);
        (0..=later)
            .find(|first| {
                let window = &steps[*first..first + WINDOW_STEPS];
                window
                    .iter()
                    .all(|step| self.is_within_bounds(step, tokens, rate, true))
            })
            .map(|first| due + WINDOW_STEP * first as u32)
    }

    /// Returns whether a promise of another instance fits into the bounds. It always does while the
    /// capacity of the region is unknown.
    fn has_room_for(&self, now: MonotonicTime, promise: &Promise) -> bool {
        let Some(rate) = self.prefill_rate(promise.key.service) else {
            return true;
        };
        let steps = self.promised_tokens(now, promise.key, promise.due_from(), WINDOW_STEPS);
        steps
            .iter()
            .all(|step| self.is_within_bounds(step, promise.tokens, rate, false))
    }

    /// Returns the tokens promised in `count` steps from `start`. A promise counts in each step in
    /// which it is due at any moment.
    fn promised_tokens(
        &self,
        now: MonotonicTime,
        key: ReturnKey,
        start: MonotonicTime,
        count: usize,
    ) -> Vec<PromisedTokens> {
        let mut steps = vec![PromisedTokens::default(); count];
        let end = start + WINDOW_STEP * count as u32;
        for promise in self.promises.values() {
            let from = promise.due_from();
            if promise.key.service != key.service
                || promise.until <= now
                || promise.until <= start
                || from >= end
            {
                continue;
            }
            let first = from.since(start).as_micros() / WINDOW_STEP.as_micros();
            let last = (promise.until.since(start).as_micros() - 1) / WINDOW_STEP.as_micros();
            let is_unreported = promise
                .made_at
                .is_some_and(|made_at| now.since(made_at) < REPORT_TIME);
            let last = (last as usize).min(count - 1);
            for step in &mut steps[first as usize..=last] {
                step.all = step.all.saturating_add(promise.tokens);
                if promise.key.organisation == key.organisation {
                    step.organisation = step.organisation.saturating_add(promise.tokens);
                }
                if is_unreported {
                    step.unreported = step.unreported.saturating_add(promise.tokens);
                }
            }
        }
        steps
    }

    /// Returns whether `tokens` may be promised in addition in a step.
    ///
    /// The instances do not know of each other's newest promises, so each makes only its part of
    /// them, but at least one.
    fn is_within_bounds(
        &self,
        step: &PromisedTokens,
        tokens: u64,
        rate: f64,
        is_own: bool,
    ) -> bool {
        let bound = max_promised(rate);
        let sum = |promised: u64| promised.saturating_add(tokens) as f64;
        if sum(step.all) > bound || sum(step.organisation) > bound * MAX_ORGANISATION_SHARE {
            return false;
        }
        let reported = step.all.saturating_sub(step.unreported) as f64;
        let part = (bound - reported) / self.instances.max(1) as f64;
        !is_own || step.unreported == 0 || sum(step.unreported) <= part
    }
}

/// Returns the prompt tokens that may be promised for one moment.
fn max_promised(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * 1_000.0 * MAX_PROMISED_SHARE
}

/// Returns the time `duration` before `time`.
const fn before(time: MonotonicTime, duration: Duration) -> MonotonicTime {
    MonotonicTime(time.0.saturating_sub(duration.as_micros() as u64))
}
