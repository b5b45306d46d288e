//! Gossip about members; the first entry is the sender's own.

use hawthornquay_decisions::GossipEntry;

use crate::DigestEntry;

/// Gossip about members; the first entry is the sender's own.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// Members, the sender first.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<DigestEntry>,
}

impl From<&[GossipEntry]> for Digest {
    fn from(entries: &[GossipEntry]) -> Self {
        Self {
            entries: entries.iter().map(Into::into).collect(),
        }
    }
}

impl From<Digest> for Vec<GossipEntry> {
    fn from(digest: Digest) -> Self {
        digest.entries.into_iter().map(Into::into).collect()
    }
}
