//! Load of one server.

use std::time::Duration;

use crate::{LoadEstimate, LoadOutcome, LoadReport, LoadState, MonotonicTime};

const BACKOFF_FIRST: Duration = Duration::from_millis(250);
const BACKOFF_DOUBLINGS: u32 = 5;
/// Silence or failure after which a server counts as recovered with cold caches.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time over which a recovered server's share grows to the whole.
const RAMP: Duration = Duration::from_secs(30);
const RAMP_START: f64 = 0.1;
/// Share of the slots from which a new request is likely to wait. Arrivals are random and reports
/// lag, so a server that seems to have one slot left often has none.
const BUSY_SHARE: f64 = 0.7;
/// Longest lag of a report for which ended sends are kept.
const LONGEST_LAG: Duration = Duration::from_secs(3);
const ASSUMED_PROMPT_TOKENS: f64 = 512.0;
const ASSUMED_OUTPUT_TOKENS: f64 = 128.0;
const ASSUMED_SERVICE_SECONDS: f64 = 0.1;
const AVERAGE_WEIGHT: f64 = 0.1;

/// Last report of one server, with what was sent to it and how that went.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEntry {
    report: Option<LoadReport>,
    /// Earliest time whose state the report may show.
    covers_until: MonotonicTime,
    /// Own requests in flight that the report is taken to contain.
    reported_own: f64,
    sends: Vec<Send>,
    service_seconds: Option<f64>,
    failures: u32,
    failing_since: Option<MonotonicTime>,
    retry_at: MonotonicTime,
    leaving_since: Option<MonotonicTime>,
    recovered_at: Option<MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    number: u64,
    prefill_tokens: u64,
    at: MonotonicTime,
    ended: Option<MonotonicTime>,
}

impl LoadEntry {
    pub(crate) fn record_report(&mut self, report: LoadReport, age: Duration, now: MonotonicTime) {
        let covers_until = MonotonicTime(now.0.saturating_sub(age.as_micros() as u64));
        if let Some(last) = &self.report {
            // A repeated report brings no news; it must not make sends look contained.
            if last.sequence == report.sequence || covers_until < self.covers_until {
                return;
            }
            if covers_until.since(self.covers_until) >= OUTAGE {
                self.recovered_at = Some(now);
            }
        }
        if report.leaving {
            self.leaving_since = Some(now);
        } else if self.leaving_since.is_some_and(|since| covers_until > since) {
            self.leaving_since = None;
        }
        self.reported_own = self.mean_in_flight(covers_until, now);
        self.covers_until = covers_until;
        self.report = Some(report);
        self.sends
            .retain(|send| send.ended.is_none_or(|ended| ended > covers_until));
    }

    /// Returns the mean number of own requests in flight between two times.
    ///
    /// The report shows the state at an unknown time between them. Counting every send since the
    /// earlier one on top of the report would count most short requests twice.
    fn mean_in_flight(&self, from: MonotonicTime, to: MonotonicTime) -> f64 {
        let span = to.since(from).as_secs_f64();
        if span <= 0.0 {
            return self.in_flight();
        }
        let overlap = |send: &Send| {
            let end = send.ended.unwrap_or(to).min(to);
            end.since(send.at.max(from)).as_secs_f64()
        };
        self.sends.iter().map(overlap).sum::<f64>() / span
    }

    fn in_flight(&self) -> f64 {
        self.sends
            .iter()
            .filter(|send| send.ended.is_none())
            .count() as f64
    }

    pub(crate) fn record_sent(&mut self, number: u64, prefill_tokens: u64, now: MonotonicTime) {
        self.sends.push(Send {
            number,
            prefill_tokens,
            at: now,
            ended: None,
        });
    }

    pub(crate) fn record_ended(&mut self, number: u64, outcome: LoadOutcome, now: MonotonicTime) {
        let Some(send) = self.sends.iter_mut().find(|send| send.number == number) else {
            return;
        };
        send.ended = Some(now);
        let taken = now.since(send.at).as_secs_f64();
        // Ended sends are kept for the next report, whose lag may reach back to them.
        self.sends.retain(|send| {
            send.ended
                .is_none_or(|ended| now.since(ended) <= LONGEST_LAG)
        });
        match outcome {
            LoadOutcome::Answered => self.answered(taken, now),
            LoadOutcome::Cancelled => {}
            LoadOutcome::Failed => self.failed(now),
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
        senders: f64,
        now: MonotonicTime,
    ) -> LoadState {
        if self.is_leaving() {
            return LoadState::Leaving;
        }
        if self.failures > 0 {
            // One request probes a failed server; the others wait for its outcome.
            let probed = self
                .sends
                .iter()
                .any(|send| send.at >= self.retry_at && send.ended.is_none());
            if now < self.retry_at || probed {
                return LoadState::BackingOff;
            }
        }
        match &self.report {
            Some(report) if now.since(self.covers_until) < stale_after => {
                LoadState::Available(self.estimate(report, senders, now))
            }
            _ => LoadState::Unknown,
        }
    }

    /// Estimates the load of a server without a recent report from own sends alone.
    pub(crate) fn estimate_unreported(&self, assumed: &LoadReport) -> LoadEstimate {
        let mut estimate = self.estimate(assumed, 1.0, MonotonicTime::default());
        estimate.occupied = self.in_flight();
        estimate
    }

    pub(crate) fn current_report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    fn ramp(&self, now: MonotonicTime) -> f64 {
        self.recovered_at.map_or(1.0, |at| {
            let share = now.since(at).as_secs_f64() / RAMP.as_secs_f64();
            (RAMP_START + (1.0 - RAMP_START) * share).min(1.0)
        })
    }

    /// Estimates the load now; `senders` is the number of instances that are taken to send alike.
    fn estimate(&self, report: &LoadReport, senders: f64, now: MonotonicTime) -> LoadEstimate {
        let unseen = || {
            self.sends
                .iter()
                .filter(|send| send.at > self.covers_until && send.ended.is_none())
        };
        let reported = f64::from(report.running) + f64::from(report.waiting);
        let change = self.in_flight() - self.reported_own;
        // The others' sends since the report are unknown; they are taken to grow as the own do.
        let change = if change > 0.0 {
            senders * change
        } else {
            change
        };
        let unseen_sends = unseen().count() as f64;
        let occupied = (reported + change).max(unseen_sends);
        let slots = (f64::from(report.slots) * self.ramp(now)).max(1.0);
        let unseen_tokens = unseen().map(|send| send.prefill_tokens).sum::<u64>() as f64;
        let excess = (occupied + 1.0 - slots * BUSY_SHARE).max(0.0);
        let mut queue_seconds = excess * self.service(report) / slots;
        if report.prefill_tokens_per_s > 0.0 {
            let pending = unseen_tokens + f64::from(report.waiting) * ASSUMED_PROMPT_TOKENS;
            let servers = f64::from(report.servers.max(1));
            queue_seconds += pending / (report.prefill_tokens_per_s * servers);
        }
        LoadEstimate {
            queue_seconds,
            prefill_tokens_per_s: report.prefill_tokens_per_s,
            occupied,
            slots,
            kv_free_tokens: (report.kv_capacity > 0).then(|| {
                report
                    .kv_capacity
                    .saturating_sub(report.kv_used + unseen_tokens as u64)
            }),
        }
    }

    fn service(&self, report: &LoadReport) -> f64 {
        self.service_seconds.unwrap_or(if report.decode_ms > 0.0 {
            report.decode_ms / 1e3 * ASSUMED_OUTPUT_TOKENS
        } else {
            ASSUMED_SERVICE_SECONDS
        })
    }

    fn answered(&mut self, taken: f64, now: MonotonicTime) {
        let last = self.service_seconds.unwrap_or(taken);
        self.service_seconds = Some(last + AVERAGE_WEIGHT * (taken - last));
        if let Some(since) = self.failing_since.take()
            && now.since(since) >= OUTAGE
        {
            self.recovered_at = Some(now);
        }
        self.failures = 0;
    }

    fn failed(&mut self, now: MonotonicTime) {
        let doublings = self.failures.min(BACKOFF_DOUBLINGS);
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.retry_at = now + BACKOFF_FIRST * 2_u32.pow(doublings);
    }
}
