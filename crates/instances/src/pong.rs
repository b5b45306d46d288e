//! Reply to a heartbeat.

/// Reply to a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pong {}
