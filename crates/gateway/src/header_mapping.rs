//! Translation between the HTTP headers of a platform and the values that the gateway uses.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, OrganisationId, RequestId};
use hawthornquay_traffic::{LimitStatement, ReportedLoad, Work};
use http::{HeaderMap, HeaderValue, request, response};

use crate::RunState;

/// Values from the head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequestHead {
    /// Request identifier, chosen by the caller.
    pub id: RequestId,
    /// Value of the `Host` header.
    pub host: String,
    /// Headers that are forwarded to backend servers.
    pub headers: HeaderMap,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time within which the caller expects the response.
    pub deadline: Option<Duration>,
    /// Declared work in tokens, if the caller states it.
    pub work: Option<Work>,
    /// Number of the last event that the caller has received of a stream.
    pub last_event: Option<u64>,
}

/// Request head with a missing, repeated or malformed header.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidRequestHead(pub String);

/// Values for the headers of a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendRequestMetadata<'a> {
    /// Headers of the caller that are forwarded to backend servers.
    pub headers: &'a HeaderMap,
    /// Organisation that sent the request; `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Backend server that is expected at the address.
    pub server: &'a BackendName,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Number of the last event that was delivered to the caller; `None` at the start of a stream.
    pub last_event: Option<u64>,
    /// Address of a backend server from which the cached prefix of the prompt may be copied.
    pub copy_from: Option<SocketAddr>,
}

/// Values from the head of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendResponseMetadata {
    /// Identifier of the request that the response belongs to; empty if it states several.
    pub request_id: Option<String>,
    /// Whether the response has the signature header that only backend servers set.
    pub signed: bool,
    /// Whether the server declares that it did not run the request.
    pub not_run: bool,
    /// Whether a server other than the expected one responded.
    pub wrong_server: bool,
    /// Load that the server reports.
    pub load: Option<ReportedLoad>,
    /// Remaining warm-up time of the server.
    pub cold: Option<Duration>,
    /// Whether the server announces that it is leaving.
    pub leaving: bool,
    /// Number of requests that the server takes.
    pub limit: LimitStatement,
    /// Time for which the server wants no further requests from this instance, after it has turned this
    /// one away.
    pub pause: Option<Duration>,
}

/// Values from the head of a backend server's answer to a health check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// Identifier of the server that answers.
    pub server: Option<String>,
    /// Remaining warm-up time of the server, zero if it is warm; `None` if the answer does not say it.
    pub cold: Option<Duration>,
    /// Number of requests that the server takes.
    pub limit: LimitStatement,
    /// Load that the server reports.
    pub load: Option<ReportedLoad>,
    /// Time for which the server wants no further requests from this instance.
    pub pause: Option<Duration>,
}

/// Translation of headers between the gateway and its callers and backend servers.
pub trait HeaderMapping: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing, repeated or malformed.
    fn read_caller_request(
        &self,
        head: &request::Parts,
    ) -> Result<CallerRequestHead, InvalidRequestHead>;

    /// Builds the headers of a request to a backend server.
    fn backend_headers(&self, metadata: &BackendRequestMetadata<'_>) -> HeaderMap;

    /// Parses the head of a backend server's response.
    fn read_response(&self, head: &response::Parts) -> BackendResponseMetadata;

    /// Parses the head of a backend server's answer to a health check.
    fn read_health(&self, head: &response::Parts) -> HealthReport;

    /// Returns the path at which backend servers report what they run, without needing a slot.
    fn report_path(&self) -> &'static str;

    /// Reads from the report of a backend server whether it runs a request.
    fn read_run_state(&self, report: &[u8], request: &RequestId) -> RunState;

    /// Builds the value of the `Retry-After` header.
    fn retry_after(&self, after: Duration) -> HeaderValue;
}
