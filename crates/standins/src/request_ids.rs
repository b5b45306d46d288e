//! Generated request ids.

use std::sync::atomic::{AtomicU64, Ordering};

/// Generates ids for requests that have no `X-Request-Id` header.
#[derive(Debug, Default)]
pub(crate) struct RequestIds(AtomicU64);

impl RequestIds {
    pub(crate) fn next_id(&self) -> String {
        format!("request-{}", self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
