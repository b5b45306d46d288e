//! Events of a stream.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes; a larger one counts as a broken stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

const ID_FIELD: &[u8] = b"id:";

/// Event of a stream, as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes, with the blank line at their end.
    pub raw: Bytes,
    /// Number of the event.
    pub id: Option<u64>,
}

/// Splits the bytes of a stream into its events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Adds bytes of the stream; returns whether the unfinished event is within its limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let raw = self.buf.copy_to_bytes(end);
        let id = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(ID_FIELD))
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|value| value.trim().parse().ok());
        Some(Event { raw, id })
    }

    /// Returns whether the stream ended within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the unfinished event of a stream that broke off.
    pub fn clear(&mut self) {
        self.buf.clear();
    }
}

/// Returns the end of the first event, after its blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}
