//! Execution state of a request.

use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request, as far as the gateway can determine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No backend server has run the request, and none will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// A backend server ran the request.
    Ran,
}

impl Execution {
    /// Returns the value used in responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}
