//! Counter of messages and bytes.

use std::sync::atomic::{AtomicU64, Ordering};

/// Messages and bytes of one traffic class, in both directions.
///
/// Bytes are the sizes of frames including their length field, before encryption.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    pub(crate) messages_in: AtomicU64,
    pub(crate) messages_out: AtomicU64,
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
}

impl TrafficCounter {
    /// Returns the number of received messages.
    pub fn messages_in(&self) -> u64 {
        self.messages_in.load(Ordering::Relaxed)
    }

    /// Returns the number of sent messages.
    pub fn messages_out(&self) -> u64 {
        self.messages_out.load(Ordering::Relaxed)
    }

    /// Returns the number of received bytes.
    pub fn bytes_in(&self) -> u64 {
        self.bytes_in.load(Ordering::Relaxed)
    }

    /// Returns the number of sent bytes.
    pub fn bytes_out(&self) -> u64 {
        self.bytes_out.load(Ordering::Relaxed)
    }

    pub(crate) fn record_in(&self, bytes: usize) {
        self.messages_in.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_out(&self, bytes: usize) {
        self.messages_out.fetch_add(1, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
