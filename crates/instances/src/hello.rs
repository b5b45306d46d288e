//! First message on a link.

/// First message that each side of a link sends: its identity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Instance name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}
