//! Output of the command.

use hawthornquay_operators::BundleDifference;
use serde_json::{Value, json};

use crate::CommandExit;

/// Text and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub exit: CommandExit,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Builds the output of a command that only reports.
    pub(crate) fn new(exit: CommandExit, stdout: String) -> Self {
        Self {
            exit,
            stdout,
            stderr: String::new(),
        }
    }

    /// Builds output that is `json` or `text`.
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

/// Returns the changes of a difference, in the order of their sections.
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
