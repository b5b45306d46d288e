//! Responses that end while the request is still being sent to the server or inside an event, and
//! responses whose status is none.

mod support;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use serde_json::{Value, json};
use support::{Caller, Fleet, FleetBuilder};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep},
};

const CHAT_PATH: &str = "/v1/chat/completions";

/// Size of a large request body; several times the socket buffers.
const UPLOAD_BYTES: usize = 2_500_000;

/// Size of the receive buffer of a server, so that most of an upload remains unsent.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// Pause before the end of a response, in which the daemon reads what was sent before.
const PAUSE: Duration = Duration::from_millis(20);

/// Time for which a server keeps a connection whose write side is closed.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// Number of servers of the plain service, and of model engines. A server that has failed receives no
/// request for some time.
const SERVERS: usize = 12;

/// Time limit for a request to reach a server.
const REACH_LIMIT: Duration = Duration::from_secs(20);

const EVENT: &str = "data: {\"choices\":[]}\n\n";

/// Parts of two events, by the number of complete events and the length of the rest: nothing, part
/// of a line, the event without its blank line, and all of it.
const PARTS: [(usize, usize); 8] = [
    (0, 0),
    (0, 3),
    (0, EVENT.len() - 1),
    (0, 9),
    (0, usize::MAX),
    (1, 9),
    (1, EVENT.len() - 1),
    (1, usize::MAX),
];

/// Complete response of a second run.
const WHOLE: &str = "whole";

/// How a server ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Resets the connection.
    Reset,
    /// Closes the connection, which resets it because part of the upload is unread.
    Close,
    /// Closes the write side only and reads nothing more.
    Shutdown,
}

const ENDS: [End; 3] = [End::Reset, End::Close, End::Shutdown];

/// Response that a server sends before it has read the body of the request.
#[derive(Clone, Debug)]
struct Early {
    text: String,
    end: End,
}

/// State of the servers: the response to the next request, and the number of requests since.
#[derive(Default)]
struct Script {
    first: Mutex<Option<Early>>,
    runs: AtomicUsize,
}

/// Starts a server that follows `script` for each `POST`, and returns 404 for anything else, such as
/// load reports.
fn start_server(script: &Arc<Script>) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::clone(script);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = Arc::clone(&script);
            // The daemon may close the connection at any time.
            tokio::spawn(async move { serve(stream, &script).await });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: &Script) -> io::Result<()> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        buf.push(stream.read_u8().await?);
    }
    let head = String::from_utf8(buf).unwrap();
    if !head.starts_with("POST") {
        let text = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        return stream.write_all(text).await;
    }
    script.runs.fetch_add(1, Ordering::SeqCst);
    let first = script.first.lock().take();
    if let Some(early) = first {
        stream.write_all(early.text.as_bytes()).await?;
        sleep(PAUSE).await;
        match early.end {
            End::Reset => stream.set_zero_linger()?,
            End::Close => {}
            End::Shutdown => {
                stream.shutdown().await?;
                sleep(HOLD_TIME).await;
            }
        }
        return Ok(());
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut left: usize = length.unwrap().parse().unwrap();
    let mut buf = vec![0; 65_536];
    while left > 0 {
        let limit = left.min(buf.len());
        match stream.read(&mut buf[..limit]).await? {
            0 => return Ok(()),
            count => left -= count,
        }
    }
    let text = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{WHOLE}",
        WHOLE.len()
    );
    stream.write_all(text.as_bytes()).await
}

/// Starts a fleet with servers of a plain service and model engines that follow the script.
async fn start_fleet() -> (Fleet, Arc<Script>) {
    let script = Arc::new(Script::default());
    let mut sections = "[route /v1/services/once]\nservice = raw\nrepeatable = no\ncost = 1\n\
                        [route /v1/services/again]\nservice = raw\nrepeatable = yes\ncost = 1\n"
        .to_owned();
    for index in 1..=SERVERS {
        sections += &format!(
            "[backend raw-{index}]\nkind = plain-service\naddress = {}\ndomain = lagos-a\n\
             service = raw\n[backend raw-engine-{index}]\nkind = model-engine\naddress = {}\n\
             domain = lagos-a\nmodels = raw-1b\nfencing = no\n",
            start_server(&script),
            start_server(&script),
        );
    }
    let fleet = FleetBuilder::default()
        .limit(100_000_000, 100_000_000)
        .extra_sections(&sections)
        .start()
        .await;
    (fleet, script)
}

/// What a caller received.
#[derive(Debug)]
struct Received {
    status: StatusCode,
    /// Body; `None` if the response was interrupted.
    body: Option<Bytes>,
}

impl Received {
    fn refusal_field(&self, field: &str) -> Option<String> {
        let value: Value = serde_json::from_slice(self.body.as_ref()?).ok()?;
        Some(value["error"][field].as_str()?.to_owned())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    SingleRun,
    Repeatable,
    Stream,
}

const KINDS: [Kind; 3] = [Kind::SingleRun, Kind::Repeatable, Kind::Stream];

fn request(kind: Kind, bytes: usize) -> (&'static str, Bytes) {
    let text = "u".repeat(bytes);
    match kind {
        Kind::SingleRun => ("/v1/services/once", text.into()),
        Kind::Repeatable => ("/v1/services/again", text.into()),
        Kind::Stream => {
            let body = json!({
                "model": "raw-1b", "messages": [{"role": "user", "content": text}],
                "max_tokens": 4, "stream": true,
            });
            (CHAT_PATH, body.to_string().into())
        }
    }
}

/// Sends a request whose first run gets the response `early`, and returns what its caller received
/// and the number of runs.
async fn call(
    fleet: &Fleet,
    instance: usize,
    script: &Script,
    kind: Kind,
    early: &Early,
    bytes: usize,
) -> (Received, usize) {
    let caller = Caller::new(Some("key-kolanut"));
    let until = Instant::now() + REACH_LIMIT;
    loop {
        *script.first.lock() = Some(early.clone());
        script.runs.store(0, Ordering::SeqCst);
        let (path, body) = request(kind, bytes);
        let response = caller.send(fleet.callers(instance), Method::POST, path, &[], body);
        let (head, body) = response.await.expect("response head").into_parts();
        let body = body.collect().await.ok().map(|body| body.to_bytes());
        let received = Received {
            status: head.status,
            body,
        };
        let runs = script.runs.load(Ordering::SeqCst);
        // A server that has just failed receives no request for some time.
        if runs > 0 {
            return (received, runs);
        }
        assert!(Instant::now() < until, "no server reached: {received:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns what is wrong with the end of a request whose first run was not answered completely.
fn check(kind: Kind, received: &Received, runs: usize) -> Option<String> {
    let is_whole = received.body.as_deref() == Some(WHOLE.as_bytes());
    let is_truthful = match received.status {
        StatusCode::OK if received.body.is_some() => is_whole && kind != Kind::SingleRun,
        StatusCode::OK => true,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            received.refusal_field("execution").as_deref() == Some("unknown")
        }
        _ => false,
    };
    let allowed_runs = if kind == Kind::SingleRun { 1 } else { 2 };
    (!is_truthful || runs > allowed_runs).then(|| format!("{runs} runs, {received:?}"))
}

/// Guards against part of a response that callers receive as a complete one because its connection
/// ended while the request was still being sent to the server.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_during_upload_is_not_complete() {
    let (fleet, script) = start_fleet().await;
    let mut wrong = Vec::new();
    let length = format!("content-length: {}\r\n", EVENT.len() + 1);
    let chunk = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    for end in ENDS {
        for (status, framing, sent) in [
            ("200 OK", "", ""),
            ("200 OK", "", EVENT),
            ("200 OK", &*length, EVENT),
            ("200 OK", "transfer-encoding: chunked\r\n", &*chunk),
            ("404 Not Found", "", EVENT),
        ] {
            let early = Early {
                text: format!(
                    "HTTP/1.1 {status}\r\ncontent-type: text/event-stream\r\n{framing}\r\n{sent}"
                ),
                end,
            };
            for kind in KINDS {
                let (received, runs) = call(&fleet, 0, &script, kind, &early, UPLOAD_BYTES).await;
                let is_error = status != "200 OK" && received.body.is_none();
                let found = check(kind, &received, runs).filter(|_| !is_error);
                wrong.extend(found.map(|found| format!("{kind:?} {early:?}: {found}")));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a response whose status means nothing, or does not end a request, that callers
/// receive as the answer to their request, and against a promise that the request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn response_with_invalid_status_is_not_passed_on() {
    let (fleet, script) = start_fleet().await;
    let mut wrong = Vec::new();
    for status in [
        "000", "099", "100", "101", "103", "199", "600", "999", "0", "20", "1000", "-200",
    ] {
        for framing in ["content-length: 0\r\n", ""] {
            let early = Early {
                text: format!("HTTP/1.1 {status} X\r\n{framing}\r\n"),
                end: End::Shutdown,
            };
            for kind in KINDS {
                let (received, runs) = call(&fleet, 0, &script, kind, &early, 5).await;
                let found = check(kind, &received, runs);
                wrong.extend(found.map(|found| format!("{kind:?} {status} {framing:?}: {found}")));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a stream that callers receive as a complete one although its server closed the
/// connection inside an event or before the first one, here or behind another instance, and against
/// a complete stream that is taken for a broken one.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_is_complete_only_after_an_event() {
    let (fleet, script) = start_fleet().await;
    let mut wrong = Vec::new();
    let line_ends = ["\n", "\r\n"].map(|end| EVENT.repeat(2).replace('\n', end));
    for (instance, parts) in [(0, &PARTS[..]), (2, &PARTS[3..6])] {
        for events in &line_ends {
            let len = events.len() / 2;
            for (before, cut) in parts {
                let text = &events[..before * len + cut.min(&len)];
                let is_whole = text.ends_with("\n\n") || text.ends_with("\n\r\n");
                let early = Early {
                    text: format!(
                        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{text}"
                    ),
                    end: End::Shutdown,
                };
                let (received, runs) =
                    call(&fleet, instance, &script, Kind::Stream, &early, 5).await;
                let found = if is_whole {
                    let has_all = received.body.as_deref() == Some(text.as_bytes());
                    (!has_all || runs != 1).then(|| format!("{runs} runs, {received:?}"))
                } else {
                    check(Kind::Stream, &received, runs)
                };
                wrong.extend(found.map(|found| format!("{instance} {text:?}: {found}")));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
