//! Identifier of a prompt part.

/// Identifies the content of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);
