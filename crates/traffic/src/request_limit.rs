//! Limit on the requests of all instances together that a backend server in need has stated.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

use crate::TokenBucket;

/// Lowest rate at which requests are sent to a limited server, per second. Without any request, an end
/// of the limit would not be noticed.
const MIN_RATE: f64 = 0.25;

/// Time over which unused requests add up.
const BURST_TIME: Duration = Duration::from_millis(1_000);

/// Share of the rate that the second instance grants while the first cannot be reached. The first may
/// still grant requests to itself and to instances that reach it.
const SUBSTITUTE_RATE_SHARE: f64 = 0.25;

/// Minimum relative change of a limit that is reported to other instances.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// Time for which a report that nothing is left of a limit counts: some status intervals.
const EXHAUSTION_TIME: Duration = Duration::from_millis(700);

/// What a response says about the number of requests that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// The server takes any number of requests.
    #[default]
    Unlimited,
    /// Requests per second that it takes from all instances together.
    PerSecond(f64),
    /// The response says nothing that can be read, so the last statement stays in force.
    Unstated,
}

/// Part of a limit that an instance grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantedPart {
    /// All of it: the instance is the one that grants.
    Whole,
    /// Some of it, in place of an instance that cannot be reached.
    Substitute,
    /// An equal part for its own requests: the instance can reach none of those that grant, of this
    /// number of instances in the region.
    Alone(usize),
}

/// Decision of an instance that grants requests to a limited server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent now.
    Granted,
    /// The server has no limit, as far as the instance knows.
    Unlimited,
    /// No request may be sent for this time.
    Denied(Duration),
}

/// Limit that a server has stated last, and what this instance has granted of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestLimit {
    /// Requests per second; `None` without a limit.
    per_s: Option<f64>,
    stated_at: MonotonicTime,
    /// Limit at the last change that other instances have to know, and the time of this change.
    reported_per_s: Option<f64>,
    changed_at: MonotonicTime,
    /// Requests that this instance may grant.
    bucket: Option<TokenBucket>,
    /// Time before which no permit is asked for.
    denied_until: MonotonicTime,
    /// Time until which nothing is left of the limit, as another instance has reported.
    exhausted_until: MonotonicTime,
}

impl RequestLimit {
    /// Returns the limit in requests per second; `None` without a limit.
    pub(crate) const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns the time of the last statement.
    pub(crate) const fn stated_at(&self) -> MonotonicTime {
        self.stated_at
    }

    /// Returns the time of the last change that other instances have to know.
    pub(crate) const fn changed_at(&self) -> MonotonicTime {
        self.changed_at
    }

    /// Applies a statement of the server, unless a later one is known; returns whether a limit begins or
    /// ends.
    pub(crate) fn apply(
        &mut self,
        now: MonotonicTime,
        per_s: Option<f64>,
        stated_at: MonotonicTime,
    ) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        self.stated_at = stated_at;
        let before = std::mem::replace(&mut self.per_s, per_s);
        let is_changed = match (self.reported_per_s, per_s) {
            (None, None) => false,
            (Some(before), Some(after)) => (after - before).abs() > before * MIN_RELATIVE_CHANGE,
            (None, Some(_)) | (Some(_), None) => true,
        };
        if is_changed {
            (self.reported_per_s, self.changed_at) = (per_s, now);
            self.denied_until = MonotonicTime(0);
        }
        if per_s.is_none() {
            self.bucket = None;
        }
        before.is_some() != per_s.is_some()
    }

    /// Returns whether a permit may be asked for; an instance that grants them itself knows the answer.
    pub(crate) fn may_ask(&mut self, now: MonotonicTime, grants: bool) -> bool {
        let is_granted = |bucket: &mut TokenBucket| bucket.time_to(now, 1.0).is_none();
        now >= self.denied_until && (!grants || self.bucket.as_mut().is_none_or(is_granted))
    }

    /// Grants a request, or returns when one can be granted.
    pub(crate) fn grant(&mut self, now: MonotonicTime, part: GrantedPart) -> PermitDecision {
        let Some(per_s) = self.per_s else {
            return PermitDecision::Unlimited;
        };
        let share = match part {
            GrantedPart::Whole => 1.0,
            GrantedPart::Substitute => SUBSTITUTE_RATE_SHARE,
            GrantedPart::Alone(instances) => 1.0 / instances.max(1) as f64,
        };
        let rate = per_s.max(MIN_RATE) * share;
        // Requests that were not used add up at one instance only.
        let capacity = match part {
            GrantedPart::Whole => (rate * BURST_TIME.as_secs_f64()).max(1.0),
            GrantedPart::Substitute | GrantedPart::Alone(_) => 1.0,
        };
        // The bucket begins empty: the instance that granted before may just have used its own.
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::new(now, rate, capacity, 0.0));
        bucket.set_limits(now, rate, capacity);
        match bucket.spend_available(now, 1.0) {
            Ok(()) => PermitDecision::Granted,
            Err(after) => PermitDecision::Denied(after),
        }
    }

    /// Records that no request may be sent for a time.
    pub(crate) fn deny(&mut self, now: MonotonicTime, after: Duration) {
        self.denied_until = now + after;
    }

    /// Records a report of another instance that nothing is left of the limit.
    pub(crate) fn mark_exhausted(&mut self, now: MonotonicTime) {
        self.exhausted_until = now + EXHAUSTION_TIME;
    }

    /// Returns whether this instance grants requests to the server and has none left.
    pub(crate) fn is_spent(&self, now: MonotonicTime) -> bool {
        let mut bucket = self.bucket;
        self.per_s.is_some()
            && bucket
                .as_mut()
                .is_some_and(|bucket| bucket.time_to(now, 1.0).is_some())
    }

    /// Returns whether nothing is left of the limit, as far as this instance knows.
    pub(crate) fn is_exhausted(&self, now: MonotonicTime) -> bool {
        let is_denied = now < self.denied_until.max(self.exhausted_until);
        self.per_s.is_some() && (is_denied || self.is_spent(now))
    }
}
