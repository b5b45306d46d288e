//! Answer of a backend server, called directly or through another instance.

use bytes::Bytes;
use futures_util::stream::BoxStream;
use hawthornquay_decisions::Execution;
use http::{HeaderMap, StatusCode};

use crate::{AnswerFailure, LoadGuard};

/// Stream of an answer's body.
pub type AnswerStream = BoxStream<'static, Result<Bytes, AnswerFailure>>;

/// Answer whose head and first part have arrived.
pub struct RoutedAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body, with the first part put back in front.
    pub body: AnswerStream,
    /// Counts the request as load until it is dropped.
    pub load: LoadGuard,
    /// Whether the answer crosses between regions.
    pub crosses_regions: bool,
}

/// Returns what an answer with this status says about the execution.
///
/// A server error may come before or after the run: a service that is leaving sends one as well.
pub fn execution_of(status: StatusCode) -> Execution {
    match status.is_server_error() {
        true => Execution::Unknown,
        false => Execution::Ran,
    }
}
