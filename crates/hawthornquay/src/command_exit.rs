//! Exit codes of the command.

use std::process::ExitCode;

/// Result of a command as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandExit {
    /// The command did what was asked: 0.
    Done,
    /// The command was refused, or the inputs differ: 1.
    Refused,
    /// The usage or an input is bad: 2.
    BadInput,
    /// The platform cannot be reached: 3.
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
