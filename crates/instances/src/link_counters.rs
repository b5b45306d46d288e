//! Counters of all links of a process.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Body, TrafficCounter};

/// Traffic of all links of a pool or server, control and forwarded traffic apart.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Everything but forwarded requests and their answers.
    pub control: TrafficCounter,
    /// Forwarded requests and their answers.
    pub forwarded: TrafficCounter,
    pub(crate) socket_in: AtomicU64,
    pub(crate) socket_out: AtomicU64,
    pub(crate) opened: AtomicU64,
    pub(crate) timed_out: AtomicU64,
    pub(crate) dropped: AtomicU64,
}

impl LinkCounters {
    /// Returns the bytes read from sockets, TLS included.
    pub fn socket_bytes_in(&self) -> u64 {
        self.socket_in.load(Ordering::Relaxed)
    }

    /// Returns the bytes written to sockets, TLS included.
    pub fn socket_bytes_out(&self) -> u64 {
        self.socket_out.load(Ordering::Relaxed)
    }

    /// Returns the number of links that reached the end of their handshake.
    pub fn links_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of links given up for silence.
    pub fn links_timed_out(&self) -> u64 {
        self.timed_out.load(Ordering::Relaxed)
    }

    /// Returns the number of messages that were dropped: received ones that match no call of this
    /// incarnation or exceed the calls of a link, and replies above the frame limit.
    pub fn messages_dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub(crate) const fn counter_for(&self, body: &Body) -> &TrafficCounter {
        if body.is_forwarded() {
            &self.forwarded
        } else {
            &self.control
        }
    }

    pub(crate) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
