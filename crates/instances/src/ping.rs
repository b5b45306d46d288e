//! Heartbeat of the side that opened the link.

/// Heartbeat of the side that opened the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}
