//! Errors that end the daemon, with their exit codes.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use hawthornquay_operators::{DaemonSettings, Faults};

use crate::DaemonError;

const BAD_INPUT: u8 = 2;
const FAILED: u8 = 1;

/// Error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum DaemonExit {
    /// The settings file cannot be read.
    #[error("cannot read the settings {path}: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(Box<Faults>),
    /// The instance cannot start.
    #[error(transparent)]
    Start(#[from] DaemonError),
    /// A call to the operating system failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl DaemonExit {
    /// Prints the error to standard error and returns the exit code: 2 for unreadable or invalid
    /// settings, 1 otherwise.
    pub fn report(self) -> ExitCode {
        match self {
            Self::Settings(faults) => {
                eprintln!("{:?}", miette::Report::new(*faults));
                BAD_INPUT.into()
            }
            Self::Unreadable { .. } => {
                eprintln!("{self}");
                BAD_INPUT.into()
            }
            Self::Start(_) | Self::System(_) => {
                eprintln!("{self}");
                FAILED.into()
            }
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or its settings are invalid.
pub fn read_settings(path: &Path) -> Result<DaemonSettings, DaemonExit> {
    let text = fs::read_to_string(path).map_err(|source| DaemonExit::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    DaemonSettings::read(&path.display().to_string(), &text)
        .map_err(|faults| DaemonExit::Settings(Box::new(faults)))
}
