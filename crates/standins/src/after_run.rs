//! Response of a plain service after it has run a request.

use serde::{Deserialize, Serialize};

/// How a plain service responds after it has run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterRun {
    /// Responds with status 200.
    #[default]
    Answer,
    /// Aborts the connection after the response head.
    Break,
    /// Responds with status 500.
    Fail,
    /// Sends no response and leaves the connection open.
    Silent,
}
