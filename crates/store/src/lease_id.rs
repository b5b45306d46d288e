//! Identifier of a lease.

/// Identifier of a lease in the key-value store.
///
/// When the store comes back from a copy, it gives out numbers again that it granted since the
/// copy. A number therefore identifies a lease only within its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId {
    /// Era of the store in which the lease was granted.
    pub era: u64,
    /// Number of the lease.
    pub number: u64,
}

impl std::fmt::Display for LeaseId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.number)?;
        if self.era > 0 {
            write!(f, " of era {}", self.era)?;
        }
        Ok(())
    }
}
