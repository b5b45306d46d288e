//! Exit status of the command.

use std::process::ExitCode;

/// Exit status of a command, with its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandExit {
    /// The command succeeded: 0.
    Done,
    /// The command was refused, or things that it compared differ: 1.
    Refused,
    /// The arguments or an input file are invalid: 2.
    BadInput,
    /// The platform cannot be reached, or the outcome is unknown: 3.
    Unreachable,
}

impl CommandExit {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::BadInput => 2,
            Self::Unreachable => 3,
        }
    }
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        exit.code().into()
    }
}
