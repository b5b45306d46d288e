//! Answer of a backend server.

use http::response::Parts;

use crate::AnswerBody;

/// Answer with its head complete and its body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: AnswerBody,
}
