//! Load of one backend server or domain.

use std::time::Duration;

use crate::{LoadEstimate, LoadOutcome, LoadReport, LoadState, MonotonicTime};

/// Time without requests after the first failure; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Shortest time without a report, or with failures only, after which the server is treated as
/// restarted with cold caches.
const MIN_OUTAGE: Duration = Duration::from_secs(5);
/// Time after an outage over which the usable share of the slots grows to all of them.
const SLOW_START: Duration = Duration::from_secs(30);
/// Share of the slots that is usable right after an outage.
const SLOW_START_INITIAL_SHARE: f64 = 0.1;
/// Share of the slots above which a new request is assumed to wait. Arrivals are random and reports
/// lag, so a server that appears to have one free slot often has none.
const BUSY_SHARE_OF_SLOTS: f64 = 0.7;
/// Longest supported lag of a report; ended requests are kept for this time.
const MAX_REPORT_LAG: Duration = Duration::from_secs(3);
/// Prompt tokens assumed for each request that waits at the server.
const ASSUMED_PROMPT_TOKENS: f64 = 512.0;
/// Generated tokens assumed for each request until a service time has been measured.
const ASSUMED_OUTPUT_TOKENS: f64 = 128.0;
/// Service time assumed for a server that reports no decode time, until one has been measured.
const ASSUMED_SERVICE_SECONDS: f64 = 0.1;
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// Last report of one server or domain, the requests that this instance sent there, and their
/// outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEntry {
    report: Option<LoadReport>,
    /// Time up to which the report is certain to reflect all events. The report was made between
    /// this time and its receipt.
    covers_until: MonotonicTime,
    /// Requests of this instance that the report is assumed to include.
    own_in_report: f64,
    /// Requests of this instance in flight, and those that ended recently.
    sent: Vec<SentRequest>,
    mean_service_seconds: Option<f64>,
    consecutive_failures: u32,
    failing_since: Option<MonotonicTime>,
    retry_at: MonotonicTime,
    leaving_since: Option<MonotonicTime>,
    recovered_at: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u64,
    prefill_tokens: u64,
    sent_at: MonotonicTime,
    ended_at: Option<MonotonicTime>,
}

impl LoadEntry {
    pub(crate) fn record_report(&mut self, report: LoadReport, age: Duration, now: MonotonicTime) {
        let covers_until = MonotonicTime(now.0.saturating_sub(age.as_micros() as u64));
        if let Some(last) = &self.report {
            // A repeated report has no new content. If it advanced `covers_until`, requests sent
            // since it was made would wrongly count as included.
            if last.sequence == report.sequence || covers_until < self.covers_until {
                return;
            }
            if covers_until.since(self.covers_until) >= MIN_OUTAGE {
                self.recovered_at = Some(now);
            }
        }
        if report.leaving {
            self.leaving_since = Some(now);
        } else if self.leaving_since.is_some_and(|since| covers_until > since) {
            self.leaving_since = None;
        }
        self.own_in_report = self.mean_own_in_flight(covers_until, now);
        self.covers_until = covers_until;
        self.report = Some(report);
        self.sent.retain(|request| {
            request
                .ended_at
                .is_none_or(|ended_at| ended_at > covers_until)
        });
    }

    /// Returns the mean number of this instance's requests that were in flight between two times.
    ///
    /// The report reflects the state at an unknown time between the two. If every request sent
    /// since the earlier time were added to the report, most short requests would count twice.
    fn mean_own_in_flight(&self, from: MonotonicTime, to: MonotonicTime) -> f64 {
        let span = to.since(from).as_secs_f64();
        if span <= 0.0 {
            return self.own_in_flight();
        }
        let overlap = |request: &SentRequest| {
            let end = request.ended_at.unwrap_or(to).min(to);
            end.since(request.sent_at.max(from)).as_secs_f64()
        };
        self.sent.iter().map(overlap).sum::<f64>() / span
    }

    fn own_in_flight(&self) -> f64 {
        self.sent
            .iter()
            .filter(|request| request.ended_at.is_none())
            .count() as f64
    }

    pub(crate) fn record_sent(&mut self, number: u64, prefill_tokens: u64, now: MonotonicTime) {
        self.sent.push(SentRequest {
            number,
            prefill_tokens,
            sent_at: now,
            ended_at: None,
        });
    }

    pub(crate) fn record_ended(&mut self, number: u64, outcome: LoadOutcome, now: MonotonicTime) {
        let Some(request) = self
            .sent
            .iter_mut()
            .find(|request| request.number == number)
        else {
            return;
        };
        request.ended_at = Some(now);
        let seconds = now.since(request.sent_at).as_secs_f64();
        // Ended requests are kept because the next report may have been made before they ended.
        self.sent.retain(|request| {
            request
                .ended_at
                .is_none_or(|ended_at| now.since(ended_at) <= MAX_REPORT_LAG)
        });
        match outcome {
            LoadOutcome::Answered => self.record_answer(seconds, now),
            LoadOutcome::Cancelled => {}
            LoadOutcome::Failed => self.record_failure(now),
            LoadOutcome::RefusedLeaving => self.mark_leaving(now),
        }
    }

    pub(crate) fn mark_leaving(&mut self, now: MonotonicTime) {
        self.leaving_since = Some(now);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(crate) fn state(
        &self,
        stale_after: Duration,
        send_multiplier: f64,
        now: MonotonicTime,
    ) -> LoadState {
        if self.is_leaving() {
            return LoadState::Leaving;
        }
        if self.consecutive_failures > 0 {
            // After the backoff, a single request probes the server; others wait for its outcome.
            let is_probed = self
                .sent
                .iter()
                .any(|request| request.sent_at >= self.retry_at && request.ended_at.is_none());
            if now < self.retry_at || is_probed {
                return LoadState::BackingOff;
            }
        }
        match &self.report {
            Some(report) if now.since(self.covers_until) < stale_after => {
                LoadState::Available(self.estimate(report, send_multiplier, now))
            }
            _ => LoadState::Unknown,
        }
    }

    /// Estimates the load of a server without a recent report, from the requests of this instance
    /// that are in flight; `assumed` replaces the report.
    pub(crate) fn estimate_without_report(&self, assumed: &LoadReport) -> LoadEstimate {
        let mut estimate = self.estimate(assumed, 1.0, MonotonicTime::default());
        estimate.occupied = self.own_in_flight();
        estimate
    }

    pub(crate) fn current_report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the usable share of the slots, which is below one during a slow start.
    fn slow_start_share(&self, now: MonotonicTime) -> f64 {
        self.recovered_at.map_or(1.0, |at| {
            let progress = now.since(at).as_secs_f64() / SLOW_START.as_secs_f64();
            (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * progress).min(1.0)
        })
    }

    /// Estimates the current load.
    ///
    /// Each request that this instance has added since the report counts `send_multiplier` times.
    fn estimate(
        &self,
        report: &LoadReport,
        send_multiplier: f64,
        now: MonotonicTime,
    ) -> LoadEstimate {
        // Requests that the report may not include.
        let unreported = || {
            self.sent
                .iter()
                .filter(|request| request.sent_at > self.covers_until && request.ended_at.is_none())
        };
        let reported = f64::from(report.running) + f64::from(report.waiting);
        let change_since_report = self.own_in_flight() - self.own_in_report;
        // Requests that other instances have sent since the report are unknown. They are assumed to
        // increase in proportion to those of this instance.
        let change_since_report = if change_since_report > 0.0 {
            send_multiplier * change_since_report
        } else {
            change_since_report
        };
        let unreported_requests = unreported().count() as f64;
        let occupied = (reported + change_since_report).max(unreported_requests);
        let slots = (f64::from(report.slots) * self.slow_start_share(now)).max(1.0);
        let unreported_tokens = unreported()
            .map(|request| request.prefill_tokens)
            .sum::<u64>() as f64;
        let excess = (occupied + 1.0 - slots * BUSY_SHARE_OF_SLOTS).max(0.0);
        let mut queue_seconds = excess * self.service_seconds(report) / slots;
        if report.prefill_tokens_per_s > 0.0 {
            let pending_tokens =
                unreported_tokens + f64::from(report.waiting) * ASSUMED_PROMPT_TOKENS;
            let servers = f64::from(report.servers.max(1));
            queue_seconds += pending_tokens / (report.prefill_tokens_per_s * servers);
        }
        LoadEstimate {
            queue_seconds,
            prefill_tokens_per_s: report.prefill_tokens_per_s,
            occupied,
            slots,
            kv_free_tokens: (report.kv_capacity > 0).then(|| {
                report
                    .kv_capacity
                    .saturating_sub(report.kv_used + unreported_tokens as u64)
            }),
        }
    }

    fn service_seconds(&self, report: &LoadReport) -> f64 {
        self.mean_service_seconds
            .unwrap_or(if report.decode_ms > 0.0 {
                report.decode_ms / 1e3 * ASSUMED_OUTPUT_TOKENS
            } else {
                ASSUMED_SERVICE_SECONDS
            })
    }

    fn record_answer(&mut self, seconds: f64, now: MonotonicTime) {
        let mean = self.mean_service_seconds.unwrap_or(seconds);
        self.mean_service_seconds = Some(mean + SERVICE_TIME_SAMPLE_WEIGHT * (seconds - mean));
        if let Some(since) = self.failing_since.take()
            && now.since(since) >= MIN_OUTAGE
        {
            self.recovered_at = Some(now);
        }
        self.consecutive_failures = 0;
    }

    fn record_failure(&mut self, now: MonotonicTime) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert(now);
        self.retry_at = now + INITIAL_BACKOFF * 2_u32.pow(doublings);
    }
}
