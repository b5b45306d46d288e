//! Ramp-up of a backend server that has started or recovered.
//!
//! A concurrency window bounds the requests of the region at the server. It grows with the responses
//! that are in time and shrinks with those that are not. Each instance has a window of its own, derived
//! from its own responses.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Part of a server's slots that the first window has: one of this number.
const INITIAL_SLOT_DIVISOR: u32 = 8;

/// Smallest first window, and the smallest one of a plain service. Plain servers have few slots and
/// short requests, and a single request at a time would leave them idle between two of them.
const MIN_INITIAL_WINDOW: u32 = 2;

/// Smallest window of a model engine.
const MIN_ENGINE_WINDOW: u32 = 1;

/// Time to the first chunk up to which a response is in time, as a multiple of the prediction. The
/// prediction is a mean, which about half of all responses exceed, and after a start it approaches
/// the true time from below.
const TIMELY_RATIO: f64 = 1.25;

/// Time to the first chunk above which a response is late, as a multiple of the prediction.
const LATE_RATIO: f64 = 2.0;

/// Time for which the requests of the other instances have to fill the window before it doubles
/// without a response to this instance. With twenty instances, a server with 24 slots has about one
/// request of each, so most instances could not reach the server otherwise.
const UNSEEN_GROWTH_INTERVAL: Duration = Duration::from_millis(500);

/// The same time after the window was halved, until a response is in time.
const UNSEEN_GROWTH_INTERVAL_AFTER_HALVING: Duration = Duration::from_millis(1_000);

/// Minimum extension of a cold time that counts as a new one. Responses that overtake each other state
/// cold times that differ by less.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(100);

/// Why a ramp begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampCause {
    /// The server was listed anew after the first list of this process.
    Listed,
    /// Its cold time has ended.
    Warm,
    /// It has responded successfully for the first time after it was unreachable.
    Reachable,
    /// It has responded successfully for the first time after it wanted no requests.
    Resumed,
}

/// What a request shows about the pace that its server sustains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampOutcome {
    /// The first chunk of a successful response arrived after this time.
    FirstChunk(Duration),
    /// The request ended without a first chunk after this time.
    NoChunk(Duration),
    /// The server rejected the request, or the connection failed.
    Failed,
}

/// Server whose ramp is checked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RampTarget {
    /// Estimated number of requests of the region at the server.
    pub(crate) requests: u32,
    pub(crate) slots: u32,
    pub(crate) is_engine: bool,
    /// Number of instances in the region.
    pub(crate) instances: usize,
}

/// Ramp that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RampEnd {
    pub(crate) took: Duration,
    /// Responses to this instance in that time, in time or not.
    pub(crate) responses: u32,
}

/// Concurrency window of a server in a ramp.
#[derive(Clone, Copy, Debug)]
struct Window {
    size: u32,
    min_size: u32,
    slots: u32,
    /// Number of instances in the region. Each sees about one of this number of the responses, so a
    /// response that it sees stands for as many.
    instances: u32,
    began_at: MonotonicTime,
    /// Time of the beginning or of the last halving. Requests sent before say nothing about the current
    /// window.
    counts_from: MonotonicTime,
    is_halved: bool,
    responses: u32,
    /// Time since which the window has been full without a response to this instance.
    full_since: Option<MonotonicTime>,
}

impl Window {
    fn new(now: MonotonicTime, target: &RampTarget) -> Self {
        Self {
            size: (target.slots / INITIAL_SLOT_DIVISOR).max(MIN_INITIAL_WINDOW),
            min_size: match target.is_engine {
                true => MIN_ENGINE_WINDOW,
                false => MIN_INITIAL_WINDOW,
            },
            slots: target.slots,
            instances: 1,
            began_at: now,
            counts_from: now,
            is_halved: false,
            responses: 0,
            full_since: None,
        }
    }

    const fn is_complete(&self) -> bool {
        self.size >= self.slots
    }

    /// Grows by `responses`, but at most to twice the size, so that a single response never opens the
    /// whole window.
    fn grow(&mut self, responses: u32) {
        self.size = self.size.saturating_add(responses.min(self.size));
    }

    fn halve(&mut self, now: MonotonicTime) {
        self.size = (self.size / 2).max(self.min_size);
        self.counts_from = now;
        self.is_halved = true;
    }

    /// Returns whether `requests` fill the window, which grows if this instance has seen no response for
    /// a while. `waiting` is the number of its own requests that wait for a first chunk.
    fn is_full(&mut self, now: MonotonicTime, requests: u32, waiting: u32) -> bool {
        if requests < self.size {
            self.full_since = None;
            return false;
        }
        let full_since = *self.full_since.get_or_insert(now);
        let interval = match self.is_halved {
            true => UNSEEN_GROWTH_INTERVAL_AFTER_HALVING,
            false => UNSEEN_GROWTH_INTERVAL,
        };
        // An instance whose own requests wait is about to see how the server responds.
        if self.instances > 1 && waiting == 0 && now.since(full_since) >= interval {
            self.grow(self.size);
            self.full_since = Some(now);
        }
        requests >= self.size
    }

    fn record(&mut self, now: MonotonicTime, expected: Duration, outcome: RampOutcome) {
        let is_late = |took: Duration| took > expected.mul_f64(LATE_RATIO);
        self.full_since = None;
        match outcome {
            RampOutcome::FirstChunk(took) => {
                self.responses += 1;
                if is_late(took) {
                    self.halve(now);
                } else if took <= expected.mul_f64(TIMELY_RATIO) {
                    self.is_halved = false;
                    self.grow(self.instances);
                }
            }
            RampOutcome::NoChunk(waited) if is_late(waited) => self.halve(now),
            RampOutcome::NoChunk(_) => {}
            RampOutcome::Failed => self.halve(now),
        }
    }
}

/// Use of a server with respect to its ramp.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// No window bounds the requests.
    #[default]
    Full,
    /// A ramp begins when the next request is placed.
    Due(RampCause),
    Ramping(Window),
}

/// Ramp-up of a backend server; the default is a server that was never seen starting or recovering.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerRamp {
    phase: Phase,
    /// End of the last cold time after which a ramp was due.
    cold_until: MonotonicTime,
    /// Requests of this instance that wait for the first byte of their response.
    waiting: u32,
}

impl ServerRamp {
    /// Returns the ramp of a server for which one is due.
    pub(crate) fn due(cause: RampCause) -> Self {
        Self {
            phase: Phase::Due(cause),
            ..Self::default()
        }
    }

    /// Begins a ramp with the next request that is placed, also if one is in progress.
    pub(crate) fn restart(&mut self, cause: RampCause) {
        self.phase = Phase::Due(cause);
    }

    /// Ends the ramp, because none applies to the service.
    pub(crate) fn cancel(&mut self) {
        self.phase = Phase::Full;
    }

    /// Begins a ramp if one is due for the server, which is not cold, and returns its cause.
    ///
    /// `cold_until` is the end of the cold time that was last known.
    pub(crate) fn begin(
        &mut self,
        now: MonotonicTime,
        cold_until: MonotonicTime,
        target: &RampTarget,
    ) -> Option<RampCause> {
        if cold_until > self.cold_until + MIN_COLD_EXTENSION {
            self.cold_until = cold_until;
            self.phase = Phase::Due(RampCause::Warm);
        }
        let Phase::Due(cause) = self.phase else {
            return None;
        };
        let window = Window::new(now, target);
        if window.is_complete() {
            self.phase = Phase::Full;
            return None;
        }
        self.phase = Phase::Ramping(window);
        Some(cause)
    }

    /// Returns whether the requests of the region fill the window.
    pub(crate) fn is_full(&mut self, now: MonotonicTime, target: &RampTarget) -> bool {
        let Phase::Ramping(window) = &mut self.phase else {
            return false;
        };
        window.instances = u32::try_from(target.instances.max(1)).unwrap_or(u32::MAX);
        window.is_full(now, target.requests, self.waiting)
    }

    /// Returns the number of requests of this instance that wait for the first byte of their response.
    pub(crate) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Records that this instance sends a request to the server.
    pub(crate) fn record_sent(&mut self) {
        self.waiting += 1;
    }

    /// Records the first byte of a response, or that the request ended without one.
    pub(crate) fn record_first_byte(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records the outcome of a request that was sent at `sent_at`, with the time to the first chunk that
    /// was predicted then.
    ///
    /// Requests sent before the last halving are ignored, so that the window is halved at most once for
    /// the requests that were at the server together.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        sent_at: MonotonicTime,
        expected: Duration,
        outcome: RampOutcome,
    ) {
        if let Phase::Ramping(window) = &mut self.phase
            && sent_at >= window.counts_from
        {
            window.record(now, expected, outcome);
        }
    }

    /// Ends the ramp if the window has reached the number of slots.
    pub(crate) fn end(&mut self, now: MonotonicTime) -> Option<RampEnd> {
        let Phase::Ramping(window) = self.phase else {
            return None;
        };
        if !window.is_complete() {
            return None;
        }
        self.phase = Phase::Full;
        Some(RampEnd {
            took: now.since(window.began_at),
            responses: window.responses,
        })
    }

    /// Returns the size of the window; `None` outside a ramp.
    pub(crate) const fn window(&self) -> Option<u32> {
        match &self.phase {
            Phase::Ramping(window) => Some(window.size),
            Phase::Full | Phase::Due(_) => None,
        }
    }
}
