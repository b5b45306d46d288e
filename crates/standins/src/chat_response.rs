//! Responses in the format of the OpenAI API.

use std::{collections::VecDeque, io};

use bytes::Bytes;
use futures_util::stream;
use hawthornquay_http::{Body, json_response};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::{Value, json};

use crate::{
    error_response::error_response, generation::Generation, generation_step::GenerationStep,
};

/// Generates the complete answer and returns it as one JSON response.
pub(crate) async fn whole_response(
    id: &str,
    model: &str,
    mut generation: Generation,
) -> Response<Body> {
    let mut text = String::new();
    loop {
        match generation.next().await {
            GenerationStep::Token(token) => text.push_str(&token),
            GenerationStep::Finished => break,
            GenerationStep::Cancelled => {
                return error_response(
                    StatusCode::CONFLICT,
                    "cancelled",
                    "the request was cancelled",
                );
            }
            GenerationStep::ConnectionAborted => return aborted_response(),
        }
    }
    let value = json!({
        "id": id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "length",
        }],
        "usage": generation.usage(),
    });
    json_response(StatusCode::OK, &value)
}

/// Returns a response that streams the answer as server-sent events while it is generated.
pub(crate) fn streamed_response(id: &str, model: &str, generation: Generation) -> Response<Body> {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [],
    });
    let start = (Some(generation), chunk, VecDeque::new());
    let frames = stream::unfold(start, |(mut generation, chunk, mut rest)| async move {
        if let Some(data) = rest.pop_front() {
            return Some((Ok(data), (generation, chunk, rest)));
        }
        let step = generation.as_mut()?.next().await;
        let reason = match step {
            GenerationStep::Token(token) => {
                let delta = json!({"content": token});
                let data = event(
                    &chunk,
                    json!({"index": 0, "delta": delta, "finish_reason": null}),
                );
                return Some((Ok(data), (generation, chunk, rest)));
            }
            GenerationStep::ConnectionAborted => {
                return Some((Err(connection_aborted()), (None, chunk, rest)));
            }
            GenerationStep::Cancelled => "cancelled",
            GenerationStep::Finished => "length",
        };
        let data = event(
            &chunk,
            json!({"index": 0, "delta": {}, "finish_reason": reason}),
        );
        let mut last = chunk.clone();
        last["usage"] = json!(generation.take()?.usage());
        rest.push_back(frame(&last.to_string()));
        rest.push_back(frame("[DONE]"));
        Some((Ok(data), (generation, chunk, rest)))
    });
    let mut res = Response::new(Body::new(StreamBody::new(frames)));
    let event_stream = HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(header::CONTENT_TYPE, event_stream);
    res
}

/// Returns a response whose connection is aborted after the head.
pub(crate) fn aborted_response() -> Response<Body> {
    let frames = stream::iter([Err::<Frame<Bytes>, _>(connection_aborted())]);
    Response::new(Body::new(StreamBody::new(frames)))
}

fn event(chunk: &Value, choice: Value) -> Frame<Bytes> {
    let mut value = chunk.clone();
    value["choices"] = json!([choice]);
    frame(&value.to_string())
}

fn frame(data: &str) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("data: {data}\n\n")))
}

fn connection_aborted() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionReset,
        "connection aborted by an injected fault",
    )
}
