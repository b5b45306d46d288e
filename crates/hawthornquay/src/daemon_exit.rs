//! Reasons for which the daemon ends with a failure.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use hawthornquay_operators::{DaemonSettings, Faults};

use crate::DaemonError;

const BAD_INPUT: u8 = 2;
const FAILED: u8 = 1;

/// Failure that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum DaemonExit {
    /// The settings file cannot be read.
    #[error("cannot read the settings {path}: {source}")]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings have faults.
    #[error(transparent)]
    Settings(Box<Faults>),
    /// The instance cannot start.
    #[error(transparent)]
    Start(#[from] DaemonError),
    /// The system refused something.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl DaemonExit {
    /// Prints the failure and returns the exit code: 2 for bad input, else 1.
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

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has faults.
pub fn read_settings(path: &Path) -> Result<DaemonSettings, DaemonExit> {
    let text = fs::read_to_string(path).map_err(|source| DaemonExit::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    DaemonSettings::read(&path.display().to_string(), &text)
        .map_err(|faults| DaemonExit::Settings(Box::new(faults)))
}
