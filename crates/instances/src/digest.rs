//! Gossip digest.

use hawthornquay_decisions::GossipEntry;

use crate::DigestEntry;

/// States of members, exchanged by gossip.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    /// Entries of members; the first one describes the sender.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<DigestEntry>,
    /// Bundle version of the head entry that the sender, or the instance it received it from, last
    /// read from the store.
    #[prost(uint64, tag = "2")]
    pub head_version: u64,
    /// Time since that read, in milliseconds.
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
