//! Gossip about members; the first entry is the sender's own.

use crate::DigestEntry;

/// Gossip about members; the first entry is the sender's own.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// Members, the sender first.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<DigestEntry>,
}
