//! Failure of one attempt.

use hawthornquay_decisions::{Execution, LoadKey, Refusal};

/// Failed attempt at a backend server or domain.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Where it failed.
    pub key: LoadKey,
    /// Whether it may have run.
    pub execution: Execution,
    /// Refusal of the instance that it was forwarded to.
    pub refusal: Option<Refusal>,
}

impl AttemptFailure {
    /// Builds a failure that is known not to have run.
    pub const fn not_run(key: LoadKey) -> Self {
        Self {
            key,
            execution: Execution::NotRun,
            refusal: None,
        }
    }

    /// Builds a failure with its execution.
    pub const fn new(key: LoadKey, execution: Execution) -> Self {
        Self {
            key,
            execution,
            refusal: None,
        }
    }

    /// Returns the name of the place where it failed.
    pub fn at(&self) -> String {
        match &self.key {
            LoadKey::Backend(name) => name.to_string(),
            LoadKey::Domain(name, _) => name.to_string(),
        }
    }
}
