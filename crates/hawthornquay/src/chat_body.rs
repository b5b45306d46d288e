//! Body of a chat request; only the fields that the gateway needs are parsed.

use std::{borrow::Cow, fmt, ops::Range};

use bytes::Bytes;
use hawthornquay_decisions::{ModelName, PrefixHash, Refusal, RefusalCode};
use hawthornquay_http::MemoryBudget;
use serde::{
    Deserialize, Deserializer,
    de::{SeqAccess, Visitor},
};
use serde_json::value::RawValue;
use tokio::sync::Semaphore;

/// Output limit of a request without `max_tokens`, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// Largest output limit that a request may state, in tokens.
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// Mean length of a token, for the estimate of a prompt's tokens.
const ESTIMATED_BYTES_PER_TOKEN: usize = 4;

/// Bodies above this length are parsed one at a time: the copies that exist meanwhile would
/// otherwise take up several times the memory of all bodies.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// Copies of a body that exist while it is parsed: the prompt, the text of a message, and the body
/// with its output limit.
const COPIES_WHILE_PARSED: usize = 3;

/// Permit for the parsing of a large body.
static LARGE_BODY_TURN: Semaphore = Semaphore::const_new(1);

/// Fields of a request. No value is copied whose size the caller chooses.
#[derive(Deserialize)]
struct ChatFields<'a> {
    model: String,
    #[serde(borrow)]
    messages: &'a RawValue,
    #[serde(default)]
    stream: bool,
    #[serde(default, borrow, deserialize_with = "even_null")]
    max_tokens: Option<&'a RawValue>,
    max_completion_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(default, borrow, deserialize_with = "even_null")]
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// Returns the text of a field that is present, also if it is `null`.
fn even_null<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<&'de RawValue>, D::Error> {
    <&RawValue>::deserialize(deserializer).map(Some)
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
    /// Hashes of the prompt's prefixes, for routing by cached prefixes.
    pub prefixes: Vec<PrefixHash>,
    /// Body for the engine; it always states the output limit.
    pub body: Bytes,
}

impl ChatBody {
    /// Parses and validates a body, and charges its copies to `memory`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body is not a valid chat request.
    pub async fn parse(body: Bytes, memory: &MemoryBudget) -> Result<Self, Refusal> {
        let _turn = match body.len() > LARGE_BODY_BYTES {
            true => LARGE_BODY_TURN.acquire().await.ok(),
            false => None,
        };
        let _copies = memory.charge(COPIES_WHILE_PARSED * body.len());
        Self::parse_now(body, memory)
    }

    fn parse_now(body: Bytes, memory: &MemoryBudget) -> Result<Self, Refusal> {
        if !body.trim_ascii_start().starts_with(b"{") {
            return Err(bad_body("send a chat request as a JSON object"));
        }
        let fields: ChatFields<'_> = serde_json::from_slice(&body).map_err(invalid_json)?;
        let max_tokens = fields.max_tokens.map_or(Ok(None), |raw| {
            serde_json::from_str::<Option<u64>>(raw.get()).map_err(invalid_json)
        })?;
        let prompt = prompt(fields.messages)?;
        let stated = fields.max_completion_tokens.or(max_tokens);
        let output_tokens = stated.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        if output_tokens == 0 || output_tokens > MAX_OUTPUT_TOKENS {
            return Err(bad_body(&format!(
                "send max_tokens between 1 and {MAX_OUTPUT_TOKENS}"
            )));
        }
        let model = ModelName::new(&fields.model);
        let (stream, null_limit) = (fields.stream, fields.max_tokens);
        let limited = match stated {
            Some(_) => None,
            None => Some(with_output_limit(&body, null_limit)),
        };
        Ok(Self {
            prefixes: PrefixHash::of_prompt(model.as_str(), prompt.as_bytes()),
            model,
            stream,
            prompt_tokens: prompt.len().div_ceil(ESTIMATED_BYTES_PER_TOKEN) as u64,
            output_tokens,
            body: match limited {
                Some(limited) => memory.charge(limited.capacity()).hold_with(limited),
                None => body,
            },
        })
    }
}

/// Returns the text of all messages, of which there must be one.
fn prompt(messages: &RawValue) -> Result<String, Refusal> {
    let mut prompt = PromptVisitor {
        text: String::with_capacity(messages.get().len()),
        is_empty: true,
    };
    let mut json = serde_json::Deserializer::from_str(messages.get());
    json.deserialize_seq(&mut prompt).map_err(invalid_json)?;
    if prompt.is_empty {
        return Err(bad_body("send at least one message"));
    }
    Ok(prompt.text)
}

/// Appends the text of each message of a sequence, without a list of all messages.
struct PromptVisitor {
    text: String,
    is_empty: bool,
}

impl<'de> Visitor<'de> for &mut PromptVisitor {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut messages: A) -> Result<(), A::Error> {
        while let Some(message) = messages.next_element::<Message<'de>>()? {
            self.is_empty = false;
            let content = message.content.map_or("null", RawValue::get);
            if content.starts_with('"') {
                let Text(text) = serde_json::from_str(content).map_err(serde::de::Error::custom)?;
                self.text.push_str(&text);
            } else if content != "null" {
                self.text.push_str(content);
            }
        }
        Ok(())
    }
}

/// Adds the default output limit to a body, or replaces its limit of `null`.
///
/// Only that many tokens are reserved, so the engine must apply the same limit.
fn with_output_limit(body: &[u8], null_limit: Option<&RawValue>) -> Vec<u8> {
    let (replaced, limit) = match null_limit {
        Some(raw) => (range_in(body, raw.get()), DEFAULT_OUTPUT_TOKENS.to_string()),
        None => {
            let first_field = body.len() - body.trim_ascii_start().len() + 1;
            let field = format!("\"max_tokens\":{DEFAULT_OUTPUT_TOKENS},");
            (first_field..first_field, field)
        }
    };
    let mut limited = Vec::with_capacity(body.len() - replaced.len() + limit.len());
    limited.extend_from_slice(&body[..replaced.start]);
    limited.extend_from_slice(limit.as_bytes());
    limited.extend_from_slice(&body[replaced.end..]);
    limited
}

/// Returns the range of `part`, which is borrowed from `body`.
fn range_in(body: &[u8], part: &str) -> Range<usize> {
    let start = part.as_ptr().addr() - body.as_ptr().addr();
    start..start + part.len()
}

fn invalid_json(error: serde_json::Error) -> Refusal {
    bad_body(&format!("send a chat request as JSON: {error}"))
}

fn bad_body(remedy: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::BadRequest,
        &format!("the body is not valid: {remedy}"),
    )
}
