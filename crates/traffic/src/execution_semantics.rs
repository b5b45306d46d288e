//! What may be repeated.

use std::time::Duration;

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionSemantics {
    /// The request is idempotent.
    Repeatable,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another backend server may continue the stream after its last event.
        resumable: bool,
        /// Longest pause between events for which an answer is on time.
        target_event_gap: Duration,
    },
}

impl ExecutionSemantics {
    /// Returns whether a second backend server may run a request that may have run already.
    pub const fn is_repeatable(self) -> bool {
        matches!(
            self,
            Self::Repeatable
                | Self::Stream {
                    resumable: true,
                    ..
                }
        )
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
