//! All faults of an INI file.

use miette::Diagnostic;

use crate::Fault;

/// All faults of one file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{file} has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
pub struct Faults {
    /// Path of the file, as the user gave it.
    pub file: String,
    /// Faults, sorted by line.
    #[related]
    pub faults: Vec<Fault>,
}
