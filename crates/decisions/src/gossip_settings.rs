//! Settings of gossip.

use std::time::Duration;

/// Size limit, partner counts and intervals of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Upper bound for the encoded size of the entries in one digest, in bytes.
    pub max_digest_bytes: usize,
    /// Number of partners in the same failure domain, including the successor by name.
    pub same_domain_partners: usize,
    /// Number of partners in other failure domains.
    pub other_domain_partners: usize,
    /// Part of the rotation interval that each other member adds.
    ///
    /// One partner is replaced when this duration times the number of other members has passed.
    /// In a large fleet a new partner costs a TLS handshake, so a partner is kept for many digests.
    /// In a small fleet the links to all members are open anyway.
    pub rotation_interval_per_member: Duration,
    /// Fixed part of the suspicion timeout, which is the time without a new heartbeat after which a
    /// member is suspect.
    pub suspicion_timeout_base: Duration,
    /// Addition to the suspicion timeout for each other member.
    ///
    /// A digest has room for few entries, so heartbeats arrive less often in a larger fleet.
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
