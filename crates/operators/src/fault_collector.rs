//! Collection of faults during parsing.

use std::sync::Arc;

use crate::{Fault, Faults};

/// Collects the faults of one file, so that all of them are reported at once.
pub(crate) struct FaultCollector {
    file: String,
    text: Arc<str>,
    faults: Vec<Fault>,
}

impl FaultCollector {
    pub(crate) fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.into(),
            faults: Vec::new(),
        }
    }

    /// Records a fault at `line`.
    pub(crate) fn add(
        &mut self,
        line: usize,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let fault = Fault::new(&self.file, &self.text, line, message.into(), remedy.into());
        self.faults.push(fault);
    }

    /// Returns `value` if no fault was recorded, otherwise the faults sorted by line.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => {
                self.faults.sort_by_key(|fault| fault.line);
                Err(Faults {
                    file: self.file,
                    faults: self.faults,
                })
            }
        }
    }
}
