//! Failure of one attempt to run a request.

use hawthornquay_decisions::{Execution, LoadKey, Refusal};

/// Failure of an attempt on a backend server or through an instance of another failure domain.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Backend server or failure domain that the attempt used.
    pub key: LoadKey,
    /// Whether the request may have run.
    pub execution: Execution,
    /// Refusal by the instance that the request was forwarded to, if it sent one.
    pub refusal: Option<Refusal>,
}

impl AttemptFailure {
    /// Returns the failure of an attempt in which the request is known not to have run.
    pub const fn not_run(key: LoadKey) -> Self {
        Self {
            key,
            execution: Execution::NotRun,
            refusal: None,
        }
    }

    /// Returns the failure of an attempt with the given `execution` and no refusal.
    pub const fn new(key: LoadKey, execution: Execution) -> Self {
        Self {
            key,
            execution,
            refusal: None,
        }
    }

    /// Returns the name of the backend server or failure domain that the attempt used.
    pub fn target_name(&self) -> String {
        match &self.key {
            LoadKey::Backend(name) => name.to_string(),
            LoadKey::Domain(name, _) => name.to_string(),
        }
    }
}
