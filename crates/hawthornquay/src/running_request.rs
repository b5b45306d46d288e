//! Bound on the requests of callers that run.

use std::sync::Arc;

use hawthornquay_decisions::{Refusal, RefusalCode};
use hawthornquay_http::MemoryCharge;
use tokio::sync::OwnedSemaphorePermit;

use crate::{Node, request_body::RETRY_AFTER};

/// Bytes for a request that runs, beside its head and body: its state and the buffers of its
/// connection to a backend server. The gateway of routed services charges the same.
const REQUEST_BYTES: usize = 32 << 10;

/// Place of a request of a caller among those that run, until it is dropped.
///
/// Over HTTP/2, a connection runs many requests, of which each needs memory and a descriptor for its
/// backend server.
pub struct RunningRequest {
    _permit: OwnedSemaphorePermit,
    _charge: MemoryCharge,
}

impl RunningRequest {
    /// Takes a place.
    ///
    /// # Errors
    ///
    /// Returns a refusal if as many requests run as callers may have connections, or if there is no
    /// memory for another one.
    pub fn begin(node: &Node) -> Result<Self, Refusal> {
        let permit = Arc::clone(&node.running_requests).try_acquire_owned();
        match (permit, node.memory.try_charge(REQUEST_BYTES)) {
            (Ok(permit), Some(charge)) => Ok(Self {
                _permit: permit,
                _charge: charge,
            }),
            _ => Err(Refusal::not_run(
                RefusalCode::NoCapacity,
                "too many requests run for the memory or the descriptors of the instance",
            )
            .with_retry_after(RETRY_AFTER)),
        }
    }
}
