//! Output of the command.

use hawthornquay_operators::BundleDifference;
use serde_json::{Value, json};

use crate::CommandExit;

/// Text and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub exit: CommandExit,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Creates output without text on standard error.
    pub(crate) fn new(exit: CommandExit, stdout: String) -> Self {
        Self {
            exit,
            stdout,
            stderr: String::new(),
        }
    }

    /// Creates output whose standard output is `json` or `text`.
    pub(crate) fn json_or_text(
        exit: CommandExit,
        as_json: bool,
        json: &Value,
        text: String,
    ) -> Self {
        let stdout = if as_json { format!("{json:#}\n") } else { text };
        Self::new(exit, stdout)
    }
}

/// Returns the changes of a difference as JSON, sorted by section.
pub(crate) fn changes_json(difference: &BundleDifference) -> Vec<Value> {
    difference
        .changes
        .iter()
        .map(|(header, change)| {
            json!({
                "section": header,
                "change": change.mark().to_string(),
                "fields": change.body().lines().collect::<Vec<_>>(),
            })
        })
        .collect()
}
