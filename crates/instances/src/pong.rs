//! Answer to a heartbeat.

/// Answer to a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}
