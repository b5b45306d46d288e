//! Evidence that an instance sends to others.

/// Evidence that an instance sends to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceScope {
    /// What the instance has seen itself; sent to the leader of its region.
    Local,
    /// Also what it has received; sent by the leader of a region.
    All,
}
