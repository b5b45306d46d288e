//! Beginning of a response.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::BufferedResponse;

/// Response as far as it is available when [`Exchange::start`](crate::Exchange::start) returns.
pub(crate) enum ResponseStart {
    /// Complete response.
    Complete(BufferedResponse),
    /// Stream with its first events; [`Exchange::next_events`](crate::Exchange::next_events) returns the others.
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
    },
}
