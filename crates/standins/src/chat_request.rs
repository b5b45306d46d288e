//! Chat request in the format of the OpenAI API.

use serde::{Deserialize, Serialize};

use crate::ChatMessage;

const DEFAULT_MAX_TOKENS: u64 = 16;
const NONCE_PREFIX: &str = "nonce=";

/// Body of `POST /v1/chat/completions`; other fields are ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Number of tokens to generate.
    #[serde(default = "default_max_tokens", alias = "max_completion_tokens")]
    pub max_tokens: u64,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatRequest {
    /// Returns the concatenated texts of all messages, over which tokens and prefixes are computed.
    pub fn prompt(&self) -> String {
        self.messages
            .iter()
            .map(|message| message.content.as_str())
            .collect()
    }

    /// Returns the nonce in the last user message, or `None` if there is none.
    pub fn nonce(&self) -> Option<&str> {
        let last = self
            .messages
            .iter()
            .rfind(|message| message.role == "user")?;
        let (_, rest) = last.content.split_once(NONCE_PREFIX)?;
        rest.split_whitespace().next()
    }
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}
