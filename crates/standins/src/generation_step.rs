//! Step of a generation.

/// What the generation of an answer comes to next.
#[derive(Debug)]
pub(crate) enum GenerationStep {
    /// The connection is to be broken off.
    ConnectionAborted,
    /// The request was cancelled by its id.
    Cancelled,
    /// The answer is whole.
    Finished,
    /// Another token.
    Token(String),
}
