//! Edge to the HTTP headers that callers and backend servers of a platform use.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, OrganisationId, RequestId};
use hawthornquay_traffic::{ReportedLoad, Work};
use http::{HeaderMap, HeaderValue, request, response};

/// Head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequestHead {
    /// Identifier that the caller gave the request.
    pub id: RequestId,
    /// Host that the caller names.
    pub host: String,
    /// Headers that a backend server may see.
    pub headers: HeaderMap,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Work that the request asks for, if the caller declares it.
    pub work: Option<Work>,
    /// Number of the last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// Malformed head of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidRequestHead(pub String);

/// What a backend server is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct BackendRequestMetadata<'a> {
    /// Headers of the caller that a backend server may see.
    pub headers: &'a HeaderMap,
    /// Organisation that the request runs for; `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Backend server that the request is meant for.
    pub server: &'a BackendName,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Number of the last event that was delivered; `None` if the stream begins.
    pub last_event: Option<u64>,
    /// Backend server from which the shared parts of the prompt may be copied.
    pub copy_from: Option<SocketAddr>,
}

/// What the head of a backend server's answer says beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendResponseMetadata {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the mark of a backend server's own answer.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the expected one has answered.
    pub wrong_server: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// Time for which the server stays cold.
    pub cold: Option<Duration>,
}

/// Translation of headers between the gateway and its callers and backend servers.
pub trait HeaderMapping: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing, repeated or malformed.
    fn read_caller_request(
        &self,
        head: &request::Parts,
    ) -> Result<CallerRequestHead, InvalidRequestHead>;

    /// Writes the headers of a request to a backend server.
    fn backend_headers(&self, terms: &BackendRequestMetadata<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_response(&self, head: &response::Parts) -> BackendResponseMetadata;

    /// Writes the time after which a caller may return.
    fn retry_after(&self, after: Duration) -> HeaderValue;
}
