//! Response to `GET /v1/requests/<id>`.

use hawthornquay_decisions::{Execution, RequestId};
use serde::Serialize;

/// Outcome of a request and the decisions that the gateway took while handling it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestOutcome {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Whether a backend server ran the request, as far as is known.
    pub execution: Execution,
    /// Whether the request has ended.
    pub finished: bool,
    /// HTTP status sent to the caller, if a response was started.
    pub status: Option<u16>,
    /// Descriptions of the decisions, oldest first.
    pub decisions: Vec<String>,
}
