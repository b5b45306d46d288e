//! Byte budget and times of gossip.

use std::time::Duration;

/// Byte budget and times of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Largest sum of encoded entries in one digest, in bytes.
    pub digest_bytes: usize,
    /// Partners in the own failure domain.
    pub near_partners: usize,
    /// Partners in other failure domains.
    pub far_partners: usize,
    /// Interval between replacements of one partner, for each member of the fleet.
    ///
    /// In a large fleet a new partner costs a TLS handshake, so it is kept for many digests. In a
    /// small one the links to all members are open anyway.
    pub rotation_per_member: Duration,
    /// Time without progress after which a member is suspect in the smallest fleet.
    pub suspect_base: Duration,
    /// Addition to `suspect_base` for each member, because a digest has room for few entries.
    pub suspect_per_member: Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            digest_bytes: 380,
            near_partners: 2,
            far_partners: 1,
            rotation_per_member: Duration::from_millis(170),
            suspect_base: Duration::from_secs(5),
            suspect_per_member: Duration::from_millis(600),
        }
    }
}
