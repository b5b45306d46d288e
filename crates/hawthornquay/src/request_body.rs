//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{Refusal, RefusalCode};
use hawthornquay_http::{Body, ReadError, read_body_with_budget};
use tokio::sync::Semaphore;

/// Largest body of a request, in bytes; a forwarded request must fit into a frame.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// Bytes of all bodies that callers are sending or that are being served.
///
/// Without a bound for all of them, a few hundred callers that never finish large bodies exceed
/// the 256 MB of the whole process.
const MEMORY_BYTES: usize = 48 << 20;

static MEMORY: Semaphore = Semaphore::const_new(MEMORY_BYTES);

/// Time after which a caller should send a body again for which there was no memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a caller's body.
///
/// # Errors
///
/// Returns a refusal if the body is too large, too slow or breaks off, or if there is no memory
/// for it.
pub async fn read_request_body(body: Body) -> Result<Bytes, Refusal> {
    let read = read_body_with_budget(body, MAX_BODY_BYTES, BODY_TIMEOUT, &MEMORY);
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
