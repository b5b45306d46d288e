//! Rate at which the engines of a service produce the events of streams.
//!
//! Pattern: engines whose time goes to the prompts of new requests. Each stream then takes many
//! times its usual time, and at some point none ends before its deadline although all begin in time.
//! The rate of the running streams shows this before the first of them fails.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Time constant with which events lose their weight.
const EVENT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Weight of the service's rate in that of a server, in events.
const SERVICE_WEIGHT: f64 = 4.0;

/// Number of recent events from which their rate is that of the service now.
const MIN_RECENT_EVENTS: f64 = 3.0;

/// Weight of the newest complete stream in the moving average of the events per output token.
const COMPLETE_STREAM_SMOOTHING: f64 = 0.02;

/// Decaying sums over the events of a server, or of all servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    events: f64,
    ms: f64,
    updated: MonotonicTime,
}

impl EventRate {
    /// Records `events` events that took `ms` milliseconds.
    pub fn record(&mut self, now: MonotonicTime, events: f64, ms: f64) {
        let factor = self.factor(now);
        self.events = self.events * factor + events;
        self.ms = self.ms * factor + ms;
        self.updated = self.updated.max(now);
    }

    /// Returns the mean time between two events in milliseconds, which is drawn towards `prior_ms`
    /// while few events are known.
    pub fn interval_ms(&self, now: MonotonicTime, prior_ms: f64) -> f64 {
        let factor = self.factor(now);
        (self.ms * factor + SERVICE_WEIGHT * prior_ms) / (self.events * factor + SERVICE_WEIGHT)
    }

    /// Returns the mean time between the recent events in milliseconds; `None` if there are few.
    pub fn recent_ms(&self, now: MonotonicTime) -> Option<f64> {
        let is_known = self.events * self.factor(now) >= MIN_RECENT_EVENTS;
        self.mean_ms().filter(|_| is_known)
    }

    /// Returns the mean time between two events in milliseconds, or `None` before the first.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.events > 0.0).then(|| self.ms / self.events)
    }

    fn factor(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        (-age / EVENT_LIFETIME.as_secs_f64()).exp()
    }
}

/// Streams of a service: the rate of their events at the pace 1, and how many they have.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStreams {
    rate: EventRate,
    /// Shortest mean time between two events at the pace 1 that was seen, in milliseconds; zero before.
    /// It is that of an engine with little to do.
    unloaded_ms: f64,
    /// Moving average of the events per output token that the caller declared.
    events_per_token: Option<f64>,
    /// Largest number of events per declared output token of a stream that is not complete.
    running_events_per_token: f64,
}

impl ServiceStreams {
    /// Records `events` events that took `ms` milliseconds at a server of this pace.
    pub fn record(&mut self, now: MonotonicTime, events: f64, ms: f64, pace: f64) {
        self.rate.record(now, events, ms / pace);
        if let Some(recent_ms) = self.rate.recent_ms(now)
            && (self.unloaded_ms == 0.0 || recent_ms < self.unloaded_ms)
        {
            self.unloaded_ms = recent_ms;
        }
    }

    /// Records that a stream for which `tokens` output tokens were declared has `events` events so far.
    /// Until a stream is complete, the longest one so far is the estimate: none completes at engines
    /// that are saturated.
    pub fn record_running(&mut self, events: u64, tokens: u64) {
        let ratio = events as f64 / tokens.max(1) as f64;
        self.running_events_per_token = self.running_events_per_token.max(ratio);
    }

    /// Records a complete stream of `events` events for which `tokens` output tokens were declared.
    pub fn record_complete(&mut self, events: u64, tokens: u64) {
        let ratio = events as f64 / tokens.max(1) as f64;
        let mean = self.events_per_token.get_or_insert(ratio);
        *mean += COMPLETE_STREAM_SMOOTHING * (ratio - *mean);
    }

    /// Returns the expected number of events of a stream with `tokens` output tokens; `None` before
    /// any stream has events.
    pub fn expected_events(&self, tokens: u64) -> Option<f64> {
        let running = self.running_events_per_token;
        let known = self.events_per_token.or((running > 0.0).then_some(running));
        known.map(|ratio| ratio * tokens as f64)
    }

    /// Returns the time between two events at a server of this pace with little to do, in milliseconds;
    /// zero if unknown.
    pub const fn unloaded_interval_ms(&self, pace: f64) -> f64 {
        self.unloaded_ms * pace
    }

    /// Returns the mean time between the recent events at a server of the pace 1 in milliseconds; `None`
    /// if there are few.
    pub fn recent_interval_ms(&self, now: MonotonicTime) -> Option<f64> {
        self.rate.recent_ms(now)
    }

    /// Returns the mean time between two events at a server of this pace in milliseconds; `None`
    /// before the first event.
    pub fn interval_ms(&self, pace: f64) -> Option<f64> {
        self.rate.mean_ms().map(|ms| ms * pace)
    }
}
