//! Running attempt.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    AttemptFailure, Call, ControlPlane, Dialect, peer_attempt::PeerAttempt,
    server_attempt::ServerAttempt,
};

/// Running attempt, here or in another region.
pub(crate) enum Attempt<C: ControlPlane, D: Dialect> {
    Server(ServerAttempt<C, D>),
    Peer(PeerAttempt),
}

impl<C: ControlPlane, D: Dialect> Attempt<C, D> {
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
    pub(crate) fn judge(&self, failure: &AttemptFailure, call: &Call) {
        match self {
            Self::Server(attempt) => attempt.judge(failure, call),
            // The instance itself has judged its backend server.
            Self::Peer(_) => {}
        }
    }
}
