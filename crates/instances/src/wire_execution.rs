//! Encoding of the execution state of a request.

use hawthornquay_decisions::Execution;

/// Encoded [`Execution`].
///
/// `Unknown` is zero, the default of a missing field: a missing field must not mean `NotRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireExecution {
    /// The request may have run.
    Unknown = 0,
    /// The request has not run and will not run.
    NotRun = 1,
    /// The request ran.
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
