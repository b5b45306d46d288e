//! Responses with a JSON body or without a body.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::Body;

/// Builds a response whose body is `value` as JSON.
///
/// # Panics
///
/// Panics if `value` cannot be serialised as JSON, for example a map whose keys are not strings.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let json = serde_json::to_vec(value).expect("value is serialisable as JSON");
    let mut res = Response::new(full_body(json.into()));
    *res.status_mut() = status;
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    res
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(full_body(Bytes::new()));
    *res.status_mut() = status;
    res
}

fn full_body(data: Bytes) -> Body {
    Body::new(Full::new(data).map_err(|never| match never {}))
}
