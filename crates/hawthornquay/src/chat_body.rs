//! Body of a chat request; only the fields that the gateway needs are parsed.

use bytes::Bytes;
use hawthornquay_decisions::{ModelName, Refusal, RefusalCode};
use serde::Deserialize;
use serde_json::Value;

/// Output limit of a request without `max_tokens`, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// Largest output limit that a request may state, in tokens.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// Mean length of a token, for the estimate of a prompt's tokens.
const ESTIMATED_BYTES_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
struct ChatFields {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// Validated body of a chat request.
#[derive(Clone, Debug)]
pub struct ChatBody {
    /// Requested model.
    pub model: ModelName,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Output limit: largest number of tokens of the answer.
    pub output_tokens: u64,
    /// Text of the prompt, for routing by cached prefixes.
    pub prompt: String,
    /// Body for the engine; it always states the output limit.
    pub body: Bytes,
}

impl ChatBody {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is not a valid chat request.
    pub fn parse(body: Bytes) -> Result<Self, Refusal> {
        let fields: ChatFields = serde_json::from_slice(&body)
            .map_err(|error| bad_body(&format!("send a chat request as JSON: {error}")))?;
        if fields.messages.is_empty() {
            return Err(bad_body("send at least one message"));
        }
        let stated = fields.max_completion_tokens.or(fields.max_tokens);
        let output_tokens = stated.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        if output_tokens == 0 || output_tokens > MAX_OUTPUT_TOKENS {
            return Err(bad_body(&format!(
                "send max_tokens between 1 and {MAX_OUTPUT_TOKENS}"
            )));
        }
        let prompt: String = fields.messages.iter().map(Message::text).collect();
        let body = if stated.is_some() {
            body
        } else {
            with_output_limit(&body)?
        };
        Ok(Self {
            model: ModelName::new(&fields.model),
            stream: fields.stream,
            prompt_tokens: prompt.len().div_ceil(ESTIMATED_BYTES_PER_TOKEN) as u64,
            output_tokens,
            prompt,
            body,
        })
    }
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

/// Adds the default output limit to a body.
///
/// Only that many tokens are reserved, so the engine must apply the same limit.
fn with_output_limit(body: &[u8]) -> Result<Bytes, Refusal> {
    let mut value: Value = serde_json::from_slice(body).map_err(|_| bad_body("send JSON"))?;
    value["max_tokens"] = DEFAULT_OUTPUT_TOKENS.into();
    let body = serde_json::to_vec(&value).map_err(|_| bad_body("send JSON"))?;
    Ok(body.into())
}

fn bad_body(remedy: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::BadRequest,
        &format!("the body is not valid: {remedy}"),
    )
}
