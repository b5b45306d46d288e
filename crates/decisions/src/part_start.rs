//! Answer that began to a request with a suspected prompt part.

use crate::{AnswerStage, MonotonicTime, PartId};

/// Latest time at which a backend server began an answer, which has reached `stage`, to a request with a
/// suspected part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartStart {
    /// Part that does not crash backend servers.
    pub part: PartId,
    /// Time at which the answer began.
    pub at: MonotonicTime,
    /// Stage that the answer has reached at least.
    pub stage: AnswerStage,
}
