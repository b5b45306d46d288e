//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{Refusal, RefusalCode};
use hawthornquay_http::{Body, ReadError, read_body};

/// Largest body of a request, in bytes; a forwarded request must fit into a frame.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a caller's body.
///
/// # Errors
///
/// Returns a refusal if the body is too large, too slow or breaks off.
pub async fn read_request_body(body: Body) -> Result<Bytes, Refusal> {
    read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .map_err(|error| {
            let code = match error {
                ReadError::Broken(_) => RefusalCode::BadRequest,
                ReadError::Timeout => RefusalCode::BodyTimeout,
                ReadError::TooLarge { .. } => RefusalCode::BodyTooLarge,
            };
            Refusal::not_run(code, &error.to_string())
        })
}
