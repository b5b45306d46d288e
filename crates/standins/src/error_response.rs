//! Error responses of the stand-ins.

use hawthornquay_http::{Body, json_response};
use http::{Response, StatusCode};
use serde_json::json;

/// Returns an error response in the format of the OpenAI API.
pub(crate) fn error_response(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let kind = if status.is_server_error() {
        "server_error"
    } else {
        "invalid_request_error"
    };
    let value = json!({"error": {"code": code, "message": message, "type": kind}});
    json_response(status, &value)
}

/// Returns the response to a path or method that the stand-in does not serve.
pub(crate) fn unknown_resource_response() -> Response<Body> {
    error_response(StatusCode::NOT_FOUND, "not-found", "no such resource")
}

/// Returns the response to a body that is not the expected JSON.
pub(crate) fn invalid_json_response(err: &serde_json::Error) -> Response<Body> {
    error_response(StatusCode::BAD_REQUEST, "bad-json", &err.to_string())
}
