//! Events of the response to a forwarded request.

use bytes::Bytes;

use crate::{ForwardEnd, ForwardHead, ForwardRefused};

/// Event of the response to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEvent {
    /// Status and headers.
    Head(ForwardHead),
    /// Part of the body.
    Data(Bytes),
    /// End of a complete response.
    End(ForwardEnd),
    /// Refusal or failure.
    Refused(ForwardRefused),
}

impl ForwardEvent {
    /// Returns whether this is the last event of the response.
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
