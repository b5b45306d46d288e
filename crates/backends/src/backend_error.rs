//! Failure of a call to a backend server.

use std::{io, net::SocketAddr, time::Duration};

use hawthornquay_decisions::Execution;
use http::StatusCode;

/// Reason why a call to a backend server failed.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The answer's body broke off.
    #[error("the answer of {address} broke off: {source}")]
    BodyInterrupted {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The answer's body fell silent.
    #[error("the answer of {address} fell silent for {limit:?}")]
    BodyTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Limit that passed.
        limit: Duration,
    },
    /// The connection closed before the request was written.
    #[error("the connection to {address} closed before the request was written")]
    ClosedBeforeSend {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection was not opened in time.
    #[error("cannot connect to {address} within {limit:?}")]
    ConnectTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Limit that passed.
        limit: Duration,
    },
    /// The head of the answer did not arrive in time.
    #[error("{address} did not answer within {limit:?}")]
    HeadTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Limit that passed.
        limit: Duration,
    },
    /// The connection could not be set up for HTTP.
    #[error("cannot set up HTTP to {address}: {source}")]
    Http {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// A report or order answer is malformed.
    #[error("{address} sent a malformed report: {source}")]
    Malformed {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
    /// The request cannot be written as HTTP.
    #[error("the request cannot be written as HTTP: {0}")]
    Request(#[from] http::Error),
    /// The request failed after a byte of it may have been sent.
    #[error("the request to {address} failed: {source}")]
    Send {
        /// Address of the backend server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// A report or order call got an unexpected status.
    #[error("{address} answered with status {status}")]
    Status {
        /// Address of the backend server.
        address: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// A report is larger than the limit.
    #[error("the report of {address} is larger than {limit} bytes")]
    TooLarge {
        /// Address of the backend server.
        address: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
}

impl BackendError {
    /// Returns whether the backend server may have run the request.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::ClosedBeforeSend { .. }
            | Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Http { .. }
            | Self::Request(_) => Execution::NotRun,
            Self::BodyInterrupted { .. }
            | Self::BodyTimeout { .. }
            | Self::HeadTimeout { .. }
            | Self::Malformed { .. }
            | Self::Send { .. }
            | Self::Status { .. }
            | Self::TooLarge { .. } => Execution::Unknown,
        }
    }
}
