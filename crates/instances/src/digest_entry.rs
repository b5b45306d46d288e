//! Entry of a gossip digest.

use hawthornquay_decisions::{GossipEntry, InstanceId};
use prost::Message;

use crate::{BackendLoad, Digest};

/// State of one member, as last received by the sender of the digest.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DigestEntry {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the instance that the entry describes.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counter that the member increments every second.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Version of the bundle in force at the member.
    #[prost(uint64, tag = "4")]
    pub bundle_version: u64,
    /// Whether the member is leaving and accepts no new requests.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Load reports of the backend servers that the member polls.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<BackendLoad>,
}

impl DigestEntry {
    /// Returns the number of bytes that `entry` adds to an encoded [`Digest`].
    pub fn len_in_digest(entry: &GossipEntry) -> usize {
        let entries = vec![Self::from(entry)];
        let digest = Digest {
            entries,
            ..Digest::default()
        };
        digest.encoded_len()
    }
}

impl From<&GossipEntry> for DigestEntry {
    fn from(entry: &GossipEntry) -> Self {
        Self {
            name: entry.id.name.to_string(),
            incarnation: entry.id.incarnation.0,
            heartbeat: entry.heartbeat,
            bundle_version: entry.bundle_version,
            leaving: entry.leaving,
            loads: entry.loads.iter().map(BackendLoad::from).collect(),
        }
    }
}

impl From<DigestEntry> for GossipEntry {
    fn from(entry: DigestEntry) -> Self {
        Self {
            id: InstanceId::new(&entry.name, entry.incarnation),
            heartbeat: entry.heartbeat,
            bundle_version: entry.bundle_version,
            leaving: entry.leaving,
            loads: entry.loads.into_iter().map(Into::into).collect(),
        }
    }
}
