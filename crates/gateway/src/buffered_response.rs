//! Response whose body is held in memory.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Response whose body is held in memory.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}
