//! Encoding of refusals as HTTP responses.

use hawthornquay_decisions::{Execution, Refusal, RefusalCode, RequestId};
use hawthornquay_http::{Body, json_response};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: RefusalCode,
    message: &'a str,
    execution: Execution,
    request_id: &'a RequestId,
}

/// Builds the HTTP response of a refusal.
///
/// It has a JSON error object, the status of the refusal's code and, if the time is known,
/// `Retry-After` in whole seconds, rounded up.
pub fn refusal_response(refusal: &Refusal, id: &RequestId) -> Response<Body> {
    let error = ErrorDetail {
        code: refusal.code,
        message: &refusal.message,
        execution: refusal.execution,
        request_id: id,
    };
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = json_response(status, &ErrorBody { error });
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1000);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            res.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    res
}
