//! Latest answer that began to a request with a prompt part.

use crate::MonotonicTime;

/// Latest time at which an answer began to a request with a prompt part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartRecord {
    pub(crate) at: MonotonicTime,
    /// Whether a request of this instance was answered.
    pub(crate) is_own: bool,
    /// Latest start that other instances were to learn of.
    pub(crate) announced: Option<MonotonicTime>,
    /// Time from which other instances should learn of it, because it clears the part.
    pub(crate) sent_from: Option<MonotonicTime>,
}
