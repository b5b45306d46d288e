//! Answer of a backend server.

use http::response::Parts;

use crate::ResponseBody;

/// Answer with its head complete and its body still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: ResponseBody,
}
