//! Failure of a call to a backend server.

use std::{io, net::SocketAddr, time::Duration};

use hawthornquay_decisions::Execution;
use http::StatusCode;

/// Failure of a call to a backend server, by the step that failed.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The connection failed while the response body was being read.
    #[error("response body from {address} was interrupted: {source}")]
    BodyInterrupted {
        /// Address of the backend server.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
    /// No data of the response body arrived within the body idle time-out.
    #[error("no response body data from {address} for {limit:?}")]
    BodyTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Time-out that expired.
        limit: Duration,
    },
    /// A response body without a length or chunks ended before the request was written, with a
    /// failure of the connection, or inside an event of a stream.
    #[error("response body from {address} is truncated")]
    BodyTruncated {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The connection closed before any byte of the request was written.
    #[error("connection to {address} closed before the request was written")]
    ClosedBeforeSend {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the backend server.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection was not opened within the connect time-out.
    #[error("connecting to {address} timed out after {limit:?}")]
    ConnectTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Time-out that expired.
        limit: Duration,
    },
    /// The response head, or the complete response of a control call, did not arrive in time.
    #[error("{address} did not respond within {limit:?}")]
    HeadTimeout {
        /// Address of the backend server.
        address: SocketAddr,
        /// Time-out that expired.
        limit: Duration,
    },
    /// The HTTP handshake on a new connection failed.
    #[error("HTTP handshake with {address} failed: {source}")]
    Http {
        /// Address of the backend server.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
    /// The response has a status that cannot end a request.
    #[error("response from {address} has the invalid status {status}")]
    InvalidStatus {
        /// Address of the backend server.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The body of a control call cannot be encoded or decoded as JSON.
    #[error("malformed JSON in a control call to {address}: {source}")]
    Malformed {
        /// Address of the backend server.
        address: SocketAddr,
        /// Underlying error.
        source: serde_json::Error,
    },
    /// The request cannot be encoded as HTTP.
    #[error("cannot encode the request as HTTP: {0}")]
    Request(#[from] http::Error),
    /// The request failed after a byte of it may have been sent.
    #[error("sending the request to {address} failed: {source}")]
    Send {
        /// Address of the backend server.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
    /// A control call returned an unexpected HTTP status.
    #[error("unexpected status {status} from {address}")]
    Status {
        /// Address of the backend server.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response body is larger than the limit.
    #[error("response body from {address} exceeds {limit} bytes")]
    TooLarge {
        /// Address of the backend server.
        address: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
    /// The end of the response body is unknown, because it has a transfer coding other than chunks.
    #[error("response from {address} has an unknown transfer coding")]
    UnknownTransferCoding {
        /// Address of the backend server.
        address: SocketAddr,
    },
}

impl BackendError {
    /// Returns what is known about the execution of the request at the backend server.
    ///
    /// `NotRun` means that no byte of the request was sent.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::ClosedBeforeSend { .. }
            | Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Http { .. }
            | Self::Request(_) => Execution::NotRun,
            Self::BodyInterrupted { .. }
            | Self::BodyTimeout { .. }
            | Self::BodyTruncated { .. }
            | Self::HeadTimeout { .. }
            | Self::InvalidStatus { .. }
            | Self::Malformed { .. }
            | Self::Send { .. }
            | Self::Status { .. }
            | Self::TooLarge { .. }
            | Self::UnknownTransferCoding { .. } => Execution::Unknown,
        }
    }
}
