//! Count of the tokens that an answer uses.

use serde::Deserialize;

/// Name of the usage field in the last event or the body of an answer.
const USAGE_FIELD: &[u8] = b"\"usage\":";
/// Start of each event of a streamed answer.
const EVENT_PREFIX: &[u8] = b"data:";

/// Number of bytes at the end of an answer that are searched for the reported usage.
const TAIL_BYTES: usize = 4_096;

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Counts the tokens of an answer while it is sent to the caller.
///
/// The usage that the engine reports at the end takes precedence. If there is none, because the
/// answer ended early, each event counts as one token.
#[derive(Debug, Default)]
pub struct TokenUse {
    tail: Vec<u8>,
    events: u64,
}

impl TokenUse {
    /// Adds the next part of the answer.
    pub fn add(&mut self, data: &[u8]) {
        self.events += data
            .windows(EVENT_PREFIX.len())
            .filter(|part| *part == EVENT_PREFIX)
            .count() as u64;
        self.tail.extend_from_slice(data);
        if self.tail.len() > 2 * TAIL_BYTES {
            self.tail.drain(..self.tail.len() - TAIL_BYTES);
        }
    }

    /// Returns the number of tokens used.
    ///
    /// `prompt_tokens` is the estimated length of the prompt, for an answer without reported usage.
    pub fn total(&self, prompt_tokens: u64) -> u64 {
        self.reported().unwrap_or(prompt_tokens + self.events)
    }

    fn reported(&self) -> Option<u64> {
        let start = self
            .tail
            .windows(USAGE_FIELD.len())
            .rposition(|part| part == USAGE_FIELD)?;
        let rest = &self.tail[start + USAGE_FIELD.len()..];
        let usage: Usage = serde_json::Deserializer::from_slice(rest)
            .into_iter()
            .next()?
            .ok()?;
        Some(usage.prompt_tokens + usage.completion_tokens)
    }
}
