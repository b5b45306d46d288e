//! All faults of an INI text.

use miette::Diagnostic;

use crate::Fault;

/// Every fault found in one text, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{file} has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
pub struct Faults {
    /// File that holds the faults, as the user named it.
    pub file: String,
    /// Faults in the order of their lines.
    #[related]
    pub faults: Vec<Fault>,
}
