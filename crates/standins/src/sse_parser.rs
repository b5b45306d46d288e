//! Parser of a streamed answer.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

/// Parses the server-sent events of an answer and records the arrival times of its tokens.
#[derive(Debug)]
pub(crate) struct SseParser {
    pub(crate) text: String,
    pub(crate) usage: Value,
    pub(crate) error: Option<Value>,
    pub(crate) done: bool,
    pub(crate) first_token: Option<Duration>,
    pub(crate) token_gaps: Vec<Duration>,
    started_at: Instant,
    last_token: Option<Instant>,
    buffer: Vec<u8>,
}

impl SseParser {
    pub(crate) fn new(started_at: Instant) -> Self {
        Self {
            text: String::new(),
            usage: Value::Null,
            error: None,
            done: false,
            first_token: None,
            token_gaps: Vec::new(),
            started_at,
            last_token: None,
            buffer: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            for line in event.lines() {
                if let Some(data) = line.strip_prefix("data:") {
                    self.read_event(data.trim());
                }
            }
        }
    }

    fn read_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let mut value: Value = serde_json::from_str(data).unwrap_or_default();
        if !value["error"].is_null() {
            self.error = Some(value.take());
            return;
        }
        if let Some(token) = value["choices"][0]["delta"]["content"].as_str()
            && !token.is_empty()
        {
            self.text += token;
            self.record_token_time(Instant::now());
        }
        if !value["usage"].is_null() {
            self.usage = value["usage"].take();
        }
    }

    fn record_token_time(&mut self, now: Instant) {
        match self.last_token {
            Some(last) => self.token_gaps.push(now - last),
            None => self.first_token = Some(now - self.started_at),
        }
        self.last_token = Some(now);
    }
}
