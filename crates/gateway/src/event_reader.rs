//! Parser of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes; a larger one is treated as a malformed stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";

/// Beginnings of lines that carry no content: comments, the type of an event and the time after
/// which to connect again.
const CONTROL_LINES: [&[u8]; 3] = [b":", b"event:", b"retry:"];

/// Event of a stream in its received encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Encoded event, with the blank line at its end.
    pub raw: Bytes,
    /// Number in the `id` field; `None` if the field is missing or is no number.
    pub id: Option<u64>,
    /// Whether it has a number or data, and so is not just a comment that keeps the stream open.
    pub has_data: bool,
}

impl Event {
    /// Returns whether the event has only comments, fields without content for the caller and blank
    /// lines.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        lines.all(|line| {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line.is_empty() || CONTROL_LINES.iter().any(|start| line.starts_with(start))
        })
    }
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: BytesMut,
    /// Number of buffered bytes that have been searched for the end of the event.
    searched: usize,
    /// Start of the line that the searched bytes end in.
    line_start: usize,
}

impl EventReader {
    /// Appends bytes of the stream; returns `false` if the buffered data exceeds the event limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        (self.searched, self.line_start) = (0, 0);
        let raw = self.buf.copy_to_bytes(end);
        let is_data = |line: &[u8]| line.starts_with(ID_FIELD) || line.starts_with(DATA_FIELD);
        let has_data = raw.split(|byte| *byte == b'\n').any(is_data);
        let id = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(ID_FIELD))
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|value| value.trim().parse().ok());
        Some(Event { raw, id, has_data })
    }

    /// Puts back an event that was removed last.
    pub fn put_back(&mut self, event: &Event) {
        let rest = std::mem::replace(&mut self.buf, BytesMut::from(&event.raw[..]));
        self.buf.extend_from_slice(&rest);
        (self.searched, self.line_start) = (0, 0);
    }

    /// Returns the length of the first event with its blank line. Bytes are searched only once.
    fn find_event_end(&mut self) -> Option<usize> {
        for index in self.searched..self.buf.len() {
            if self.buf[index] != b'\n' {
                continue;
            }
            let line = &self.buf[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = self.buf.len();
        None
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns whether part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards the partial event of an interrupted stream.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
