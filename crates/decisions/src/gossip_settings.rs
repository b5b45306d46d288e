//! Byte budget and times of gossip.

use std::time::Duration;

/// Byte budget and times of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Largest sum of encoded entries in one digest, in bytes.
    pub max_digest_bytes: usize,
    /// Partners in the own failure domain.
    pub same_domain_partners: usize,
    /// Partners in other failure domains.
    pub other_domain_partners: usize,
    /// Interval between replacements of one partner, for each member of the fleet.
    ///
    /// In a large fleet a new partner costs a TLS handshake, so it is kept for many digests. In a
    /// small one the links to all members are open anyway.
    pub rotation_interval_per_member: Duration,
    /// Time without progress after which a member is suspect in the smallest fleet.
    pub suspicion_timeout_base: Duration,
    /// Addition to `suspicion_timeout_base` for each member, because a digest has room for few
    /// entries.
    pub suspicion_timeout_per_member: Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            max_digest_bytes: 380,
            same_domain_partners: 2,
            other_domain_partners: 1,
            rotation_interval_per_member: Duration::from_millis(170),
            suspicion_timeout_base: Duration::from_secs(5),
            suspicion_timeout_per_member: Duration::from_millis(600),
        }
    }
}
