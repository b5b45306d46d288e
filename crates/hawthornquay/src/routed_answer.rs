//! Answer of a backend server, received directly or through another instance.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use hawthornquay_decisions::Execution;
use http::{HeaderMap, StatusCode};

use crate::{AnswerFailure, LoadGuard};

/// Stream of an answer's body.
pub type AnswerStream = BoxStream<'static, Result<Bytes, AnswerFailure>>;

/// Answer whose head and first part have arrived.
pub struct RoutedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body, including the first part.
    pub body: AnswerStream,
    /// Guard that counts the request as load.
    pub load: LoadGuard,
    /// Whether the answer comes from another region.
    pub crosses_regions: bool,
}

/// Returns what an answer with this status says about the execution.
///
/// After a server error it is unknown whether the request ran. A service that is shutting down, for
/// example, sends one without running the request.
pub fn execution_of(status: StatusCode) -> Execution {
    match status.is_server_error() {
        true => Execution::Unknown,
        false => Execution::Ran,
    }
}
