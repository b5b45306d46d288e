//! Encoding of what is known about an execution.

use hawthornquay_decisions::Execution;

/// Encoded [`Execution`].
///
/// Zero is `Unknown`, so that a missing field never claims that a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireExecution {
    /// It may or may not have run.
    Unknown = 0,
    /// It has not run and never will.
    NotRun = 1,
    /// It ran.
    Ran = 2,
}

impl From<Execution> for WireExecution {
    fn from(execution: Execution) -> Self {
        match execution {
            Execution::NotRun => Self::NotRun,
            Execution::Unknown => Self::Unknown,
            Execution::Ran => Self::Ran,
        }
    }
}

impl From<WireExecution> for Execution {
    fn from(execution: WireExecution) -> Self {
        match execution {
            WireExecution::NotRun => Self::NotRun,
            WireExecution::Unknown => Self::Unknown,
            WireExecution::Ran => Self::Ran,
        }
    }
}
