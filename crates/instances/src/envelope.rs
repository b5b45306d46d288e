//! Frame content.

use crate::Body;

/// One frame on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Incarnation of the caller; a reply repeats it. Zero outside calls.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Caller's number of the call; a reply repeats it. Zero outside calls.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Message.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub body: Option<Body>,
}

impl Envelope {
    /// Wraps a message that belongs to no call.
    pub const fn one_way(body: Body) -> Self {
        Self::of_call(0, 0, body)
    }

    /// Wraps a message of the call `sequence` of the caller `incarnation`.
    pub const fn of_call(incarnation: u64, sequence: u64, body: Body) -> Self {
        Self {
            incarnation,
            sequence,
            body: Some(body),
        }
    }
}
