//! Head of a caller's request.

use std::time::Duration;

use gotham::state::{FromState, State};
use hawthornquay_decisions::{Priority, Refusal, RefusalCode, RequestId};
use http::{HeaderMap, Method, Uri, header};

use crate::CallerKey;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Validated head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifier that this instance assigned to the request.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Key from the `Authorization` header, if present.
    pub key: Option<CallerKey>,
    /// Value of the `Idempotency-Key` header, if present.
    pub idempotency_key: Option<String>,
    /// Time limit from the `X-Deadline-Ms` header, if present; capped at one hour.
    pub deadline: Option<Duration>,
    /// Priority from the `X-Priority` header; interactive by default.
    pub priority: Priority,
    /// Value of the `Content-Type` header, if present.
    pub content_type: Option<String>,
}

impl RequestHead {
    /// Reads and validates the head of the request in `state`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the code `BadRequest` if one of the headers that the gateway reads is
    /// malformed or repeated.
    pub fn from_state(state: &State, id: RequestId) -> Result<Self, Refusal> {
        let headers = HeaderMap::borrow_from(state);
        Ok(Self {
            id,
            method: Method::borrow_from(state).clone(),
            uri: Uri::borrow_from(state).clone(),
            key: bearer_key(headers)?,
            idempotency_key: idempotency_key(headers)?,
            deadline: deadline(headers)?,
            priority: priority(headers)?,
            content_type: text(headers, header::CONTENT_TYPE.as_str())?.map(str::to_owned),
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.uri.path()
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<CallerKey>, Refusal> {
    let Some(value) = text(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let token = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim())
        .filter(|token| !token.is_empty())
        .ok_or_else(|| bad_header("authorization", "send `Authorization: Bearer <key>`"))?;
    Ok(Some(CallerKey::new(token)))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(key) = text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(bad_header(
            "idempotency-key",
            "send between 1 and 255 characters",
        ));
    }
    Ok(Some(key.to_owned()))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = text(headers, "x-deadline-ms")? else {
        return Ok(None);
    };
    let ms: u64 = value
        .parse()
        .map_err(|_| bad_header("x-deadline-ms", "send the milliseconds left as a number"))?;
    Ok(Some(Duration::from_millis(ms).min(MAX_DEADLINE)))
}

fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    match text(headers, "x-priority")? {
        None | Some("interactive") => Ok(Priority::Interactive),
        Some("batch") => Ok(Priority::Batch),
        Some(_) => Err(bad_header("x-priority", "send `interactive` or `batch`")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "send it once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_header(name, "use visible ASCII characters"))
}

fn bad_header(name: &str, remedy: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::BadRequest,
        &format!("the header `{name}` is not valid: {remedy}"),
    )
}
