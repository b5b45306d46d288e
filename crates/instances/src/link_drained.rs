//! Last message of a drained link.

/// Last message on a link whose receiving instance stops, behind all replies.
///
/// That instance has not read, and will not run, the forwarded requests without any reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkDrained {}
