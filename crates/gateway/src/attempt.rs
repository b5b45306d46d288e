//! Attempt to run a request, on a backend server or through another instance.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{BackendName, InstanceName};

use crate::{
    AdmittedRequest, AttemptFailure, ControlPlane, HeaderMapping, peer_attempt::PeerAttempt,
    server_attempt::ServerAttempt,
};

/// Attempt whose response has started, on a backend server of this region or through an instance
/// of another region.
pub(crate) enum Attempt<C: ControlPlane, H: HeaderMapping> {
    Server(Box<ServerAttempt<C, H>>),
    Peer(PeerAttempt),
}

/// Backend server or instance to which an attempt was sent.
#[derive(Clone, Copy)]
pub(crate) enum AttemptDestination<'a> {
    Server(&'a BackendName),
    Instance(&'a InstanceName),
}

impl AttemptDestination<'_> {
    /// Returns the name of the backend server or instance.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Server(name) => name.as_str(),
            Self::Instance(name) => name.as_str(),
        }
    }
}

impl<C: ControlPlane, H: HeaderMapping> Attempt<C, H> {
    /// Returns the backend server or instance to which the attempt was sent.
    pub(crate) fn destination(&self) -> AttemptDestination<'_> {
        match self {
            Self::Server(attempt) => AttemptDestination::Server(&attempt.pick().id),
            Self::Peer(attempt) => AttemptDestination::Instance(&attempt.peer),
        }
    }

    /// Returns the next chunk of the response body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt fails or no chunk arrives within `max_wait`. In the second
    /// case, whose cause is [`AttemptCause::Silent`](crate::AttemptCause::Silent), the attempt may
    /// still be continued.
    pub(crate) async fn next_chunk(
        &mut self,
        max_wait: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        match self {
            Self::Server(attempt) => attempt.next_chunk(max_wait).await,
            Self::Peer(attempt) => attempt.next_chunk(max_wait).await,
        }
    }

    /// Records that a complete event of the answer has arrived.
    pub(crate) fn record_answer_event(&mut self) {
        match self {
            Self::Server(attempt) => attempt.record_answer_event(),
            // The other instance records the answers of its backend servers itself.
            Self::Peer(_) => {}
        }
    }

    /// Records that the answer is complete.
    pub(crate) fn record_whole_answer(&mut self) {
        match self {
            Self::Server(attempt) => attempt.record_whole_answer(),
            Self::Peer(_) => {}
        }
    }

    /// Counts a failure that occurred after the response head against the backend server.
    pub(crate) fn record_failure(&self, failure: &AttemptFailure, request: &AdmittedRequest) {
        match self {
            Self::Server(attempt) => attempt.record_failure(failure, request),
            // The other instance counts the failures of its backend servers itself.
            Self::Peer(_) => {}
        }
    }
}
