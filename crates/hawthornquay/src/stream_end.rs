//! End of a stream of server-sent events whose response has neither a length nor chunks.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use hawthornquay_backends::{BackendError, ResponseBody};

/// Content of the line that a stream has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

/// Position in a stream of events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventPosition {
    line: Line,
    is_after_event: bool,
}

impl EventPosition {
    /// Advances by the next bytes of the stream.
    pub fn advance(&mut self, data: &[u8]) {
        for byte in data {
            self.is_after_event = *byte == b'\n' && self.line != Line::Text;
            self.line = match (byte, self.line) {
                (b'\n', _) => Line::Empty,
                (b'\r', Line::Empty) => Line::CarriageReturn,
                _ => Line::Text,
            };
        }
    }

    /// Returns whether the last byte ended an event. A stream that ends elsewhere is truncated.
    pub const fn is_after_event(&self) -> bool {
        self.is_after_event
    }
}

/// Returns the body of a stream that fails at its end unless that follows an event.
///
/// Nothing else distinguishes the end of such a stream from a server that stops.
pub fn check_stream_end(
    body: ResponseBody,
    address: SocketAddr,
) -> impl Stream<Item = Result<Bytes, BackendError>> + Send {
    let start = Some((body, EventPosition::default()));
    stream::unfold(start, move |state| async move {
        let (mut body, mut position) = state?;
        match body.next().await {
            Some(Ok(data)) => {
                position.advance(&data);
                Some((Ok(data), Some((body, position))))
            }
            Some(Err(error)) => Some((Err(error), None)),
            None if position.is_after_event() => None,
            None => Some((Err(BackendError::BodyTruncated { address }), None)),
        }
    })
}
