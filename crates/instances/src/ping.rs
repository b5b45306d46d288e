//! Heartbeat message.

/// Heartbeat, sent by the side that opened the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}
