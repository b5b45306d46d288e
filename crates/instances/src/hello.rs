//! First message of both sides of a link.

/// First message of both sides of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Instance name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}
