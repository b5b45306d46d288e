//! Description of how a connection ended.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use crate::connection_progress::Progress;

/// Reason for which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// The server closed it after the header time-out without a byte of a request.
    IdleTimeout,
    /// The server closed it after the header time-out with a part of a request head.
    HeadTimeout,
    /// The server closed it after bytes that are no request, or a head beyond its limits.
    InvalidRequest,
    /// The server closed it after a response with `Connection: close`.
    FinalResponse,
    /// The server closed it because the body of a response failed.
    ResponseFailed,
    /// The server closed it because it stops.
    Shutdown,
    /// The server closed it because memory or connections ran short and its client made no progress,
    /// or left too many responses unread.
    Pressure,
    /// The client closed it.
    ClientClosed,
    /// It was reset or failed.
    Broken,
}

impl EndReason {
    /// Returns the reason as used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::IdleTimeout => "idle-timeout",
            Self::HeadTimeout => "head-timeout",
            Self::InvalidRequest => "invalid-request",
            Self::FinalResponse => "final-response",
            Self::ResponseFailed => "response-failed",
            Self::Shutdown => "shutdown",
            Self::Pressure => "pressure",
            Self::ClientClosed => "client-closed",
            Self::Broken => "broken",
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEnd {
    /// Address of the client.
    pub client: SocketAddr,
    /// Reason of the end.
    pub reason: EndReason,
    /// Time since the last byte was read or written.
    pub idle: Duration,
    /// Time since the connection was accepted.
    pub age: Duration,
    /// Number of complete responses.
    pub responses: u64,
    /// Bytes read since the last complete response or the body of its request ended, or since the
    /// start.
    pub unanswered_bytes: u64,
    /// Bytes that had arrived and had not been read when the server closed the socket: a request,
    /// or the rest of a request that was answered early.
    pub unread_bytes: u64,
    /// Whether a request whose head was read has no complete response.
    pub is_request_open: bool,
}

impl ConnectionEnd {
    pub(crate) fn new(
        client: SocketAddr,
        progress: &Progress,
        result: &Result<(), Box<dyn Error + Send + Sync>>,
        is_stopping: bool,
    ) -> Self {
        let unanswered_bytes = progress.unanswered_bytes();
        let reason = progress
            .ended_for
            .unwrap_or_else(|| end_reason(result, progress, unanswered_bytes > 0, is_stopping));
        Self {
            client,
            reason,
            idle: progress.last_transfer.elapsed(),
            age: progress.accepted.elapsed(),
            responses: progress.responses,
            unanswered_bytes,
            unread_bytes: progress.unread_bytes,
            is_request_open: progress.is_request_open(),
        }
    }

    /// Returns whether the connection ended between two requests, with nothing left to read.
    #[must_use]
    pub const fn is_between_requests(&self) -> bool {
        !self.is_request_open && self.unanswered_bytes == 0 && self.unread_bytes == 0
    }
}

/// Function that is called at the end of each connection.
pub(crate) type EndObserver = Arc<dyn Fn(&ConnectionEnd) + Send + Sync>;

fn end_reason(
    result: &Result<(), Box<dyn Error + Send + Sync>>,
    progress: &Progress,
    has_unanswered_bytes: bool,
    is_stopping: bool,
) -> EndReason {
    match result {
        Err(error) => match error.downcast_ref::<hyper::Error>() {
            Some(error) if error.is_timeout() && has_unanswered_bytes => EndReason::HeadTimeout,
            Some(error) if error.is_timeout() => EndReason::IdleTimeout,
            Some(error) if error.is_parse() => EndReason::InvalidRequest,
            Some(error) if error.is_user() => EndReason::ResponseFailed,
            _ if progress.is_client_closed => EndReason::ClientClosed,
            _ => EndReason::Broken,
        },
        Ok(()) if progress.is_client_closed => EndReason::ClientClosed,
        Ok(()) if is_stopping => EndReason::Shutdown,
        Ok(()) => EndReason::FinalResponse,
    }
}
