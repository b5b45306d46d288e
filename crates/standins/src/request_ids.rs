//! Ids of requests that come without one.

use std::sync::atomic::{AtomicU64, Ordering};

/// Draws the ids of requests that come without one.
#[derive(Debug, Default)]
pub(crate) struct RequestIds(AtomicU64);

impl RequestIds {
    pub(crate) fn next_id(&self) -> String {
        format!("request-{}", self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }
}
