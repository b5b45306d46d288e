//! State of a member.

/// State of a member in the view of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Makes progress and takes work.
    Live,
    /// Makes no progress that this instance sees; it may still run.
    Suspect,
    /// Finishes its work and takes no new one.
    Leaving,
    /// Has ended, as the platform's list says.
    Gone,
}

impl MemberState {
    /// Returns whether regular digests go to the member.
    pub(crate) const fn receives_digests(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }
}
