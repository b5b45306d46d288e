//! Counts of accepted and rejected requests.

/// Requests that servers accepted and rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admissions {
    /// Requests that a server accepted.
    pub accepted: u32,
    /// Requests that a server rejected because it was full.
    pub rejected: u32,
}

impl Admissions {
    /// Adds the counts of another instance.
    pub const fn add(&mut self, other: Self) {
        self.accepted += other.accepted;
        self.rejected += other.rejected;
    }
}
