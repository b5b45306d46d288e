//! First message on a link.

use hawthornquay_decisions::InstanceId;

/// First message that each side of a link sends: its identity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Instance name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Longest request body that the sender accepts in several frames; zero if it accepts none.
    #[prost(uint64, tag = "3")]
    pub max_body_bytes: u64,
}

impl Hello {
    /// Returns the identity of the sender.
    pub(crate) fn id(&self) -> InstanceId {
        InstanceId::new(&self.name, self.incarnation)
    }
}
