//! Content of a frame.

use crate::Body;

/// Content of one frame on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Incarnation of the process that made the call; a reply repeats it. Zero in one-way messages.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the call at that process; a reply repeats it. Zero in one-way messages.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Message; `None` if its type is unknown to this version.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27"
    )]
    pub body: Option<Body>,
}

impl Envelope {
    /// Wraps a one-way message.
    pub const fn one_way(body: Body) -> Self {
        Self::of_call(0, 0, body)
    }

    /// Wraps a message of the call with number `sequence` made by the process `incarnation`.
    pub const fn of_call(incarnation: u64, sequence: u64, body: Body) -> Self {
        Self {
            incarnation,
            sequence,
            body: Some(body),
        }
    }
}
