//! One fault in an INI text.

use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Fault with its file, its line and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("{file}:{line}: {message}")]
pub struct Fault {
    /// File that holds the fault, as the user named it.
    pub file: String,
    /// Line in the file, from 1.
    pub line: usize,
    /// Sentence that describes the fault.
    pub message: String,
    /// Sentence that says how to remove the fault.
    #[help]
    pub remedy: String,
    #[source_code]
    source_text: NamedSource<Arc<str>>,
    #[label("here")]
    span: SourceSpan,
}

impl Fault {
    /// Builds a fault of one line of `text`.
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
