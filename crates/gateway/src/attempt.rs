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
    /// Returns the next part of the body, within `patience`; `None` at its end.
    pub(crate) async fn chunk(
        &mut self,
        patience: Duration,
    ) -> Option<Result<Bytes, AttemptFailure>> {
        match self {
            Self::Server(attempt) => attempt.chunk(patience).await,
            Self::Peer(attempt) => attempt.chunk(patience).await,
        }
    }

    /// Reports a failure that came after the head.
    pub(crate) fn judge(&self, failure: &AttemptFailure, call: &AdmittedRequest) {
        match self {
            Self::Server(attempt) => attempt.judge(failure, call),
            // The instance itself has judged its backend server.
            Self::Peer(_) => {}
        }
    }
}
