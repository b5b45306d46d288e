//! Answer of a backend server to a probe.

use bytes::Bytes;

/// Answer of a backend server to a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// It refused the connection: nothing listens at its address.
    Refused,
    /// It neither accepted nor refused the connection, or did not respond, within the time-out.
    Nothing,
    /// It sent a complete body with status 200.
    Body(Bytes),
    /// It responded otherwise, or reset the connection, as servers with too many connections do.
    Other,
}
