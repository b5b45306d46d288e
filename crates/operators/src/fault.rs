//! Fault in an INI file.

use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Fault with its file, its line and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{file}:{line}: {message}")]
pub struct Fault {
    /// Path of the file, as the user gave it.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Description of the fault.
    pub message: String,
    /// Instruction that corrects the fault.
    #[help]
    pub remedy: String,
    #[source_code]
    source_text: NamedSource<Arc<str>>,
    #[label("here")]
    span: SourceSpan,
}

impl Fault {
    /// Creates a fault at a line of `text`.
    pub(crate) fn new(
        file: &str,
        text: &Arc<str>,
        line: usize,
        message: String,
        remedy: String,
    ) -> Self {
        Self {
            file: file.to_owned(),
            line,
            message,
            remedy,
            source_text: NamedSource::new(file, Arc::clone(text)),
            span: span_of_line(text, line),
        }
    }
}

/// Returns the span of a line without trailing white space, or the end of the text if there is no
/// such line.
fn span_of_line(text: &str, line: usize) -> SourceSpan {
    let mut start = 0;
    for (index, content) in text.split_inclusive('\n').enumerate() {
        if index + 1 == line {
            return (start, content.trim_end().len()).into();
        }
        start += content.len();
    }
    (text.len(), 0).into()
}
