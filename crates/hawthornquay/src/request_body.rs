//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{Refusal, RefusalCode};
use hawthornquay_http::{Body, ReadError, read_body_with_budget};
use tokio::sync::Semaphore;

/// Largest body of a request, in bytes; a forwarded request must fit into one frame of a link.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// Largest total of the bodies that are being received or served, in bytes.
///
/// Without this bound, a few hundred callers that never finish sending large bodies would exceed
/// the memory limit of the process, which is 256 MB.
const MAX_TOTAL_BODY_BYTES: usize = 48 << 20;

/// Permits for the bytes of request bodies in memory.
static BODY_MEMORY: Semaphore = Semaphore::const_new(MAX_TOTAL_BODY_BYTES);

/// `Retry-After` of a request that is refused because there is no memory for its body.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a caller's request.
///
/// # Errors
///
/// Returns a refusal if the body is too large, takes too long or is incomplete, or if there is no
/// memory for it.
pub async fn read_request_body(body: Body) -> Result<Bytes, Refusal> {
    let read = read_body_with_budget(body, MAX_BODY_BYTES, BODY_TIMEOUT, &BODY_MEMORY);
    read.await.map_err(|error| {
        let code = match error {
            ReadError::Interrupted(_) => RefusalCode::BadRequest,
            ReadError::MemoryExhausted => RefusalCode::NoCapacity,
            ReadError::Timeout => RefusalCode::BodyTimeout,
            ReadError::TooLarge { .. } => RefusalCode::BodyTooLarge,
        };
        let refusal = Refusal::not_run(code, &error.to_string());
        match code {
            RefusalCode::NoCapacity => refusal.with_retry_after(RETRY_AFTER),
            _ => refusal,
        }
    })
}
