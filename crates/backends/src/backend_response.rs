//! Response of a backend server.

use http::response::Parts;

use crate::ResponseBody;

/// Response whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status line and headers.
    pub head: Parts,
    /// Stream of the body.
    pub body: ResponseBody,
}
