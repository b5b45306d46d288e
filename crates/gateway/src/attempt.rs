//! Running attempt.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    AdmittedRequest, AttemptFailure, ControlPlane, HeaderMapping, peer_attempt::PeerAttempt,
    server_attempt::ServerAttempt,
};

/// Running attempt, here or in another region.
pub(crate) enum Attempt<C: ControlPlane, H: HeaderMapping> {
    Server(ServerAttempt<C, H>),
    Peer(PeerAttempt),
}

impl<C: ControlPlane, H: HeaderMapping> Attempt<C, H> {
    /// Returns the next part of the body, within `max_wait`; `None` at its end.
    pub(crate) async fn next_chunk(
        &mut self,
        max_wait: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        match self {
            Self::Server(attempt) => attempt.next_chunk(max_wait).await,
            Self::Peer(attempt) => attempt.next_chunk(max_wait).await,
        }
    }

    /// Reports a failure that came after the head.
    pub(crate) fn record_failure(&self, failure: &AttemptFailure, request: &AdmittedRequest) {
        match self {
            Self::Server(attempt) => attempt.record_failure(failure, request),
            // The instance itself has judged its backend server.
            Self::Peer(_) => {}
        }
    }
}
