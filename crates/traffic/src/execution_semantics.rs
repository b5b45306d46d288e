//! Execution semantics of a route.

use std::time::Duration;

/// How often a route's requests may run, and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionSemantics {
    /// Requests are idempotent and may run more than once.
    Repeatable,
    /// Requests run at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another backend server can resume the stream after its last event.
        resumable: bool,
        /// Target for the longest pause between two events.
        target_event_gap: Duration,
    },
}

impl ExecutionSemantics {
    /// Returns the target for the longest pause between two events; `None` if the response is no
    /// stream.
    pub const fn target_event_gap(self) -> Option<Duration> {
        match self {
            Self::Stream {
                target_event_gap, ..
            } => Some(target_event_gap),
            Self::Repeatable | Self::AtMostOnce => None,
        }
    }

    /// Returns whether a request that may have run already may be retried at another backend
    /// server.
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

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
