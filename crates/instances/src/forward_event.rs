//! Parts of the answer to a forwarded request.

use bytes::Bytes;

use crate::{ForwardEnd, ForwardHead, ForwardRefused};

/// Part of the answer to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEvent {
    /// Start of the answer.
    Head(ForwardHead),
    /// Piece of the body.
    Data(Bytes),
    /// End of a whole answer.
    End(ForwardEnd),
    /// Refusal or failure; nothing follows.
    Refused(ForwardRefused),
}

impl ForwardEvent {
    /// Returns whether nothing follows.
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::End(_) | Self::Refused(_))
    }

    pub(crate) fn buffered_len(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            _ => 0,
        }
    }
}
