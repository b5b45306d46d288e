//! Step of a generation.

/// Result of one step in the generation of an answer.
#[derive(Debug)]
pub(crate) enum GenerationStep {
    /// An injected fault aborts the connection.
    ConnectionAborted,
    /// The request was cancelled by id.
    Cancelled,
    /// All tokens have been generated.
    Finished,
    /// Next token.
    Token(String),
}
