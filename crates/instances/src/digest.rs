//! Gossip about members; the first entry is the sender's own.

use hawthornquay_decisions::GossipEntry;

use crate::DigestEntry;

/// Gossip about members; the first entry is the sender's own.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// Members, the sender first.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<DigestEntry>,
    /// Version of the head that the sender or its source last read from the store.
    #[prost(uint64, tag = "2")]
    pub head_version: u64,
    /// Time since that read.
    #[prost(uint64, tag = "3")]
    pub head_age_ms: u64,
}

impl From<&[GossipEntry]> for Digest {
    fn from(entries: &[GossipEntry]) -> Self {
        Self {
            entries: entries.iter().map(Into::into).collect(),
            ..Self::default()
        }
    }
}

impl From<Digest> for Vec<GossipEntry> {
    fn from(digest: Digest) -> Self {
        digest.entries.into_iter().map(Into::into).collect()
    }
}
