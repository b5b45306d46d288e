//! Failure of the command.

use std::path::PathBuf;

use hawthornquay_operators::{Faults, SignatureError};
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde_json::{Value, json};

use crate::{CommandExit, CommandOutput};

/// Reason why a command did not do what was asked.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// A bundle has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] Box<Faults>),
    /// The system gives no random bytes.
    #[error("the system gives no random bytes: {0}")]
    #[diagnostic(help("try again, or use another machine"))]
    NoRandomBytes(#[source] std::io::Error),
    /// The key is not the one that the predecessor names for the signer.
    #[error("the key is not the one that {} names for signer `{signer}`", predecessor.display())]
    #[diagnostic(help("pass the key file of `{signer}`, or another `--signer`"))]
    OtherKey {
        /// Name of the signer.
        signer: String,
        /// File of the predecessor.
        predecessor: PathBuf,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions"))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: std::io::Error,
    },
    /// A file of signatures is malformed.
    #[error("{} is no file of signatures: {source}", path.display())]
    #[diagnostic(help("remove the file and sign again"))]
    SignatureFile {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: serde_json::Error,
    },
    /// A file holds no signing key.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("pass a file that `hawthornquay key new --signer` wrote"))]
    SigningKey {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: SignatureError,
    },
    /// A name has characters that a bundle does not allow.
    #[error("`{name}` is no name")]
    #[diagnostic(help("use letters, digits and `-_.`"))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A key with this name is in the bundle already.
    #[error("{} already has a key `{name}`", path.display())]
    #[diagnostic(help("choose another `--name`"))]
    KeyExists {
        /// File of the bundle.
        path: PathBuf,
        /// Name of the key.
        name: String,
    },
    /// The bundle has no such organisation.
    #[error("{} has no organisation `{organisation}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownOrganisation {
        /// File of the bundle.
        path: PathBuf,
        /// Name that was asked for.
        organisation: String,
        /// Names that the bundle has.
        known: String,
    },
    /// The predecessor has no such signer.
    #[error("{} has no signer `{signer}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownSigner {
        /// File of the predecessor.
        path: PathBuf,
        /// Name that was asked for.
        signer: String,
        /// Names that the predecessor has.
        known: String,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions; a key file must not exist yet"))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: std::io::Error,
    },
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit(&self) -> CommandExit {
        match self {
            Self::OtherKey { .. } | Self::UnknownSigner { .. } => CommandExit::Refused,
            _ => CommandExit::BadInput,
        }
    }

    /// Renders the error for a user, or as JSON on standard output.
    pub(crate) fn into_output(self, as_json: bool) -> CommandOutput {
        let exit = self.exit();
        if as_json {
            return CommandOutput::new(exit, format!("{:#}\n", self.to_json()));
        }
        let mut stderr = String::new();
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        if handler.render_report(&mut stderr, &self).is_err() {
            stderr = format!("{self}\n");
        }
        CommandOutput {
            exit,
            stdout: String::new(),
            stderr,
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        let faults: Vec<Value> = match self {
            Self::Faults(faults) => faults
                .faults
                .iter()
                .map(|fault| {
                    json!({
                        "file": fault.file,
                        "line": fault.line,
                        "message": fault.message,
                        "remedy": fault.remedy,
                    })
                })
                .collect(),
            _ => Vec::new(),
        };
        json!({
            "error": {
                "message": self.to_string(),
                "remedy": self.help().map(|help| help.to_string()),
                "faults": faults,
            }
        })
    }
}
