//! What is known about the execution of a request.

use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No backend server has run it or ever will.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// A backend server ran it.
    Ran,
}

impl Execution {
    /// Returns the word used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}
