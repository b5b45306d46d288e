//! More urgent streams that share the engines of a service.
//!
//! Pattern: short streams with a short latency target beside long ones whose callers can wait. Engines
//! that are filled with the long ones answer the short ones late, so the long ones are admitted only
//! while the engines have room for both.

use std::time::Duration;

use hawthornquay_decisions::MonotonicTime;

/// Time for which a request shows that its kind uses the service.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);

/// Minimum ratio of the latency targets for the less urgent requests to give way.
const TARGET_RATIO: u32 = 2;

/// Number of distinguished urgencies; less urgent ones count as the last.
const URGENCIES: usize = 10;

/// Latest streams of each urgency.
#[derive(Clone, Copy, Debug, Default)]
pub struct UrgentStreams {
    /// Time and latency target of the last request, by priority.
    latest: [Option<(MonotonicTime, Duration)>; URGENCIES],
}

impl UrgentStreams {
    /// Records a request for a stream.
    pub fn record(&mut self, now: MonotonicTime, priority: u8, target: Duration) {
        self.latest[index(priority)] = Some((now, target));
    }

    /// Returns whether a request gives way: more urgent streams with a much shorter latency target
    /// use the service.
    pub fn has_precedence(&self, now: MonotonicTime, priority: u8, target: Duration) -> bool {
        let more_urgent = self.latest[..index(priority)].iter().flatten();
        more_urgent
            .filter(|(at, _)| now.since(*at) < DEMAND_LIFETIME)
            .any(|(_, urgent_target)| *urgent_target * TARGET_RATIO <= target)
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(URGENCIES - 1)
}
