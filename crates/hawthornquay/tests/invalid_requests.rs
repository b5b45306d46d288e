//! Invalid requests on the caller port.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use http::StatusCode;
use support::{Caller, FleetBuilder, RawCaller, read_response};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const CHAT: &str = "/v1/chat/completions";
const AUTH: &str = "authorization: Bearer key-kolanut\r\n";

struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    /// Whether the caller closes its write half afterwards.
    half_close: bool,
    /// Expected status; 0 if the connection is closed without a response.
    status: u16,
    /// Expected refusal code; empty for invalid HTTP, whose response has no body.
    code: &'static str,
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: h\r\n{headers}content-length: {len}\r\n\r\n{body}")
        .into_bytes()
}

fn case(name: &'static str, bytes: Vec<u8>, status: u16, code: &'static str) -> Case {
    Case {
        name,
        bytes,
        half_close: false,
        status,
        code,
    }
}

fn body_cases() -> Vec<Case> {
    let chat = |name, body: &str| case(name, request("POST", CHAT, AUTH, body), 400, "bad-request");
    let message = r#"{"role":"user","content":"n"}"#;
    let with = |field: &str| format!(r#"{{"model":"ledger-7b","messages":[{message}],{field}}}"#);
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let mut chunked = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}transfer-encoding: chunked\r\n\r\n400000\r\n"
    )
    .into_bytes();
    chunked.resize(chunked.len() + (4 << 20), b' ');
    let with_length =
        format!("POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}content-length: 4000000\r\n\r\n");
    let truncated =
        format!("POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}content-length: 100\r\n\r\n{{\"mo");
    vec![
        chat("invalid JSON", "{\"model\""),
        chat("no body", ""),
        chat("not an object", "[]"),
        chat("wrong type", r#"{"model":1,"messages":[]}"#),
        chat(
            "messages of a wrong type",
            r#"{"model":"ledger-7b","messages":"n"}"#,
        ),
        chat("no message", r#"{"model":"ledger-7b","messages":[]}"#),
        chat("no tokens", &with(r#""max_tokens":0"#)),
        chat("negative tokens", &with(r#""max_tokens":-1"#)),
        chat(
            "too many tokens",
            &with(r#""max_tokens":18446744073709551615"#),
        ),
        chat(
            "field sent twice",
            &with(r#""max_tokens":1,"max_tokens":900000"#),
        ),
        chat("deeply nested JSON", &deep),
        case(
            "oversized body with content length",
            with_length.into_bytes(),
            413,
            "body-too-large",
        ),
        case("oversized chunked body", chunked, 413, "body-too-large"),
        Case {
            half_close: true,
            ..case("truncated body", truncated.into_bytes(), 400, "bad-request")
        },
    ]
}

fn header_cases() -> Vec<Case> {
    let models = |name, headers: &str, status, code| {
        case(
            name,
            request("GET", "/v1/models", headers, ""),
            status,
            code,
        )
    };
    let with_key = |name, headers: &str| {
        let headers = format!("{AUTH}{headers}\r\n");
        models(name, &headers, 400, "bad-request")
    };
    let long = "k".repeat(300);
    vec![
        models("no key", "", 401, "key-rejected"),
        models(
            "unknown key",
            "authorization: Bearer x\r\n",
            401,
            "key-rejected",
        ),
        models(
            "other scheme",
            "authorization: Basic x\r\n",
            400,
            "bad-request",
        ),
        models(
            "empty key",
            "authorization: Bearer \r\n",
            400,
            "bad-request",
        ),
        models("key sent twice", &AUTH.repeat(2), 400, "bad-request"),
        models(
            "key not in ASCII",
            "authorization: Bearer \u{e9}\r\n",
            400,
            "bad-request",
        ),
        with_key("empty idempotency key", "idempotency-key: "),
        with_key("long idempotency key", &format!("idempotency-key: {long}")),
        with_key(
            "idempotency key sent twice",
            "idempotency-key: a\r\nidempotency-key: b",
        ),
        with_key("deadline not a number", "x-deadline-ms: soon"),
        with_key("negative deadline", "x-deadline-ms: -1"),
        with_key("unknown priority", "x-priority: urgent"),
        with_key(
            "content type sent twice",
            "content-type: a/b\r\ncontent-type: c/d",
        ),
    ]
}

fn route_cases() -> Vec<Case> {
    let mut cases = vec![
        case(
            "unknown path",
            request("GET", "/nothing", AUTH, ""),
            404,
            "route-unknown",
        ),
        case("root", request("GET", "/", AUTH, ""), 404, "route-unknown"),
        case(
            "invalid percent-encoding",
            request("GET", "/%zz%ff", AUTH, ""),
            404,
            "route-unknown",
        ),
        case(
            "dot segments",
            request("GET", "/v1/../admin", AUTH, ""),
            404,
            "route-unknown",
        ),
        case(
            "GET on a POST route",
            request("GET", CHAT, AUTH, ""),
            400,
            "bad-request",
        ),
        case(
            "POST on a GET route",
            request("POST", "/v1/models", AUTH, "{}"),
            400,
            "bad-request",
        ),
    ];
    for method in ["PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "BREW"] {
        cases.push(case(
            "other method",
            request(method, CHAT, AUTH, ""),
            400,
            "bad-request",
        ));
    }
    cases
}

fn http_cases() -> Vec<Case> {
    let huge = format!("{AUTH}x-huge: {}\r\n", "h".repeat(32 << 10));
    let many: String = (0..200).map(|index| format!("x-{index}: v\r\n")).collect();
    let two_lengths = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}content-length: 1\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    let truncated = format!("POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}");
    let half_closed = |case: Case| Case {
        half_close: true,
        ..case
    };
    vec![
        case(
            "huge head",
            request("GET", "/v1/models", &huge, ""),
            431,
            "",
        ),
        case(
            "many headers",
            request("GET", "/v1/models", &many, ""),
            431,
            "",
        ),
        case("two content lengths", two_lengths.into_bytes(), 400, ""),
        case(
            "bad header name",
            request("GET", "/", "bad name: v\r\n", ""),
            400,
            "",
        ),
        case("garbage", b"\x00\x01\x02 garbage\r\n\r\n".to_vec(), 400, ""),
        case(
            "unknown version",
            b"GET / HTTP/7.7\r\n\r\n".to_vec(),
            400,
            "",
        ),
        half_closed(case("truncated head", truncated.into_bytes(), 0, "")),
    ]
}

/// Guards against invalid requests that are not refused with the right status and code, that run,
/// or that disturb other callers.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_without_affecting_other_callers() {
    let fleet = FleetBuilder::default().start().await;
    let to = fleet.callers(0);
    let stop = Arc::new(AtomicBool::new(false));
    let other = tokio::spawn(call_until_stopped(to, Arc::clone(&stop)));
    let cases = [body_cases(), header_cases(), route_cases(), http_cases()];
    let mut mismatches = Vec::new();
    for case in cases.into_iter().flatten() {
        let response = RawCaller::exchange(to, &case.bytes, case.half_close).await;
        let execution = if case.code.is_empty() { "" } else { "not-run" };
        let expected = (case.status, case.code.to_owned(), execution.to_owned());
        let found = (response.status, response.code(), response.execution());
        if found != expected {
            mismatches.push(format!(
                "{}: got {found:?}, expected {expected:?}",
                case.name
            ));
        }
    }
    stop.store(true, Ordering::SeqCst);
    let answered = other.await.unwrap();
    assert!(answered > 0, "the other caller received no response");
    assert!(mismatches.is_empty(), "{mismatches:#?}");
    assert_eq!(fleet.in_flight(), 0);
    assert!(fleet.runs().is_empty());
}

async fn call_until_stopped(to: SocketAddr, stop: Arc<AtomicBool>) -> usize {
    let caller = Caller::new(Some("key-kolanut"));
    let mut answered = 0;
    while !stop.load(Ordering::SeqCst) {
        let response = caller.chat(to, "other", 2, false).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        answered += 1;
    }
    answered
}

/// Guards against garbage after a pipelined request that corrupts the response to the request, or a
/// later request.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_garbage_closes_only_its_connection() {
    let fleet = FleetBuilder::default().start().await;
    let to = fleet.callers(0);
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut bytes = request("GET", "/v1/models", AUTH, "");
    bytes.extend(b"\x7fGARBAGE\r\n\r\n");
    stream.write_all(&bytes).await.unwrap();
    let first = read_response(&mut stream).await;
    assert_eq!(first.status, 200);
    let second = read_response(&mut stream).await;
    assert!(matches!(second.status, 0 | 400), "{second:?}");
    let models = Caller::new(Some("key-kolanut")).get(to, "/v1/models").await;
    assert_eq!(models.status, StatusCode::OK);
}
