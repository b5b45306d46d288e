//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{Refusal, RefusalCode};
use hawthornquay_http::{Body, MemoryBudget, ReadError, read_charged_body};

/// Largest body of a request, in bytes; a forwarded request must fit into one frame of a link.
pub const MAX_BODY_BYTES: usize = 3 << 20;

/// `Retry-After` of a request that is refused because there is no memory for it.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a caller's request, which stays charged to `memory` until it is dropped.
///
/// # Errors
///
/// Returns a refusal if the body is too large, takes too long or is incomplete, or if there is no
/// memory for it.
pub async fn read_request_body(body: Body, memory: &MemoryBudget) -> Result<Bytes, Refusal> {
    let read = read_charged_body(body, MAX_BODY_BYTES, BODY_TIMEOUT, memory);
    read.await.map_err(|error| {
        let code = match error {
            ReadError::Interrupted(_) => RefusalCode::BadRequest,
            ReadError::MemoryExhausted => return memory_exhausted(&error),
            ReadError::Timeout => RefusalCode::BodyTimeout,
            ReadError::TooLarge { .. } => RefusalCode::BodyTooLarge,
        };
        Refusal::not_run(code, &error.to_string())
    })
}

/// Charges the body of a forwarded request to `memory` until it is dropped.
///
/// # Errors
///
/// Returns a refusal if there is no memory for it.
pub fn charge_forwarded_body(body: Bytes, memory: &MemoryBudget) -> Result<Bytes, Refusal> {
    match memory.try_charge(body.len()) {
        Some(charge) => Ok(charge.hold_with(body)),
        None => Err(memory_exhausted(&ReadError::MemoryExhausted)),
    }
}

fn memory_exhausted(error: &ReadError) -> Refusal {
    Refusal::not_run(RefusalCode::NoCapacity, &error.to_string()).with_retry_after(RETRY_AFTER)
}
