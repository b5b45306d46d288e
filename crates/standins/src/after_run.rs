//! What follows a run of a plain service.

use serde::{Deserialize, Serialize};

/// What a plain service does after it has run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterRun {
    /// Answers.
    #[default]
    Answer,
    /// Breaks the connection off.
    Break,
    /// Answers 500.
    Fail,
    /// Sends nothing and leaves the connection open.
    Silent,
}
