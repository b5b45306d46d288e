//! Answer to `GET /v1/requests/<id>`.

use hawthornquay_decisions::{Execution, RequestId};
use serde::Serialize;

/// Outcome of a request and the decisions taken for it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestOutcome {
    /// Request.
    pub request_id: RequestId,
    /// Whether it ran.
    pub execution: Execution,
    /// Whether it has ended.
    pub finished: bool,
    /// HTTP status that the caller was sent, if any.
    pub status: Option<u16>,
    /// Decisions in the order in which they were taken.
    pub decisions: Vec<String>,
}
