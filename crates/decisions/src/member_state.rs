//! State of a fleet member.

/// State of a fleet member, as determined by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Sends heartbeats and accepts requests.
    Live,
    /// No heartbeat was received in time, a link failed, or another member uses the address; the
    /// member may still run.
    Suspect,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Has ended, according to the platform's instance list.
    Gone,
}

impl MemberState {
    /// Returns whether a member in this state receives regular digests and appears in them.
    pub(crate) const fn receives_digests(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }
}
