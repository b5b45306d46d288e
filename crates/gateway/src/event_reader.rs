//! Parser of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes; a larger one is treated as a malformed stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

const ID_FIELD: &[u8] = b"id:";

/// Event of a stream in its received encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Encoded event, with the blank line at its end.
    pub raw: Bytes,
    /// Number in the `id` field; `None` if the field is missing or is no number.
    pub id: Option<u64>,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
}

impl EventReader {
    /// Appends bytes of the stream; returns `false` if the buffered data exceeds the event limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
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

    /// Returns whether part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards the partial event of an interrupted stream.
    pub fn clear(&mut self) {
        self.buf.clear();
    }
}

/// Returns the length of the first event with its blank line.
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
