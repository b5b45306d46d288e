//! Answer that arrived whole.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Answer that arrived whole.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}
