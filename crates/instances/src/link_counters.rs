//! Traffic and event counters of links.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Body, TrafficCounter};

/// Counters of all links of a [`LocalInstance`](crate::LocalInstance).
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Control traffic: all messages except those of forwarded requests and their responses.
    pub control: TrafficCounter,
    /// Messages of forwarded requests and their responses.
    pub forwarded: TrafficCounter,
    pub(crate) socket_in: AtomicU64,
    pub(crate) socket_out: AtomicU64,
    pub(crate) opened: AtomicU64,
    pub(crate) timed_out: AtomicU64,
    pub(crate) dropped: AtomicU64,
}

impl LinkCounters {
    /// Returns the number of bytes read from sockets, including TLS overhead.
    pub fn socket_bytes_in(&self) -> u64 {
        self.socket_in.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written to sockets, including TLS overhead.
    pub fn socket_bytes_out(&self) -> u64 {
        self.socket_out.load(Ordering::Relaxed)
    }

    /// Returns the number of incoming and outgoing links that completed their handshake.
    pub fn links_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of links that ended because nothing was received within the time-out.
    pub fn links_timed_out(&self) -> u64 {
        self.timed_out.load(Ordering::Relaxed)
    }

    /// Returns the number of dropped messages.
    ///
    /// These are received messages that match no call of this incarnation or exceed
    /// [`MAX_CALLS_PER_LINK`](crate::MAX_CALLS_PER_LINK), and messages to be sent that exceed
    /// [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    pub fn messages_dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the traffic counter for the type of `body`.
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
