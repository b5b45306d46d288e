//! Tokens that an answer used.

use serde::Deserialize;

const USAGE_FIELD: &[u8] = b"\"usage\":";
const EVENT_MARK: &[u8] = b"data:";

/// Bytes at the end of an answer in which its usage is looked for.
const TAIL_BYTES: usize = 4_096;

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Counts the tokens of an answer while it passes.
///
/// The usage that the engine reports at the end decides; for an answer that broke off, each event
/// counts as one token.
#[derive(Debug, Default)]
pub struct TokenUse {
    tail: Vec<u8>,
    events: u64,
}

impl TokenUse {
    /// Adds a part of the answer.
    pub fn add(&mut self, data: &[u8]) {
        self.events += data
            .windows(EVENT_MARK.len())
            .filter(|part| *part == EVENT_MARK)
            .count() as u64;
        self.tail.extend_from_slice(data);
        if self.tail.len() > 2 * TAIL_BYTES {
            self.tail.drain(..self.tail.len() - TAIL_BYTES);
        }
    }

    /// Returns the tokens used, with `prompt_tokens` as the estimate of the prompt.
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
