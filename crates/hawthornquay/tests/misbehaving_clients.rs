//! Crowds of misbehaving clients against a process with little memory and few file descriptors.
//!
//! Each test plays a crowd on three paths in turn. While the connections of the crowd are open, the
//! process must live, its peak memory and its open descriptors must stay within the stated machine,
//! and an ordinary request must be answered.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_standins::{EngineSettings, ServiceFaults};
use http::{Method, StatusCode};
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use support::{Caller, ClientScript, Crowd, Fleet, FleetBuilder, chat_body};
use tokio::{
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};

const DAEMON: &str = env!("CARGO_BIN_EXE_hawthornquayd");

/// Stated memory of the machine, in MB; also the bound for the peak memory of the process.
const MEMORY_MB: usize = 64;

/// Stated file descriptors of the machine; also the bound for the descriptors of the process.
const DESCRIPTORS: usize = 400;

/// Clients of a crowd that takes up connections: a quarter more than there are descriptors.
const CONNECTIONS: usize = DESCRIPTORS + DESCRIPTORS / 4;

/// Length of a large body, below the limit of 3 MiB.
const BODY_BYTES: usize = 2_900_000;

/// Clients of a crowd with large bodies, which are four times the memory together.
const LARGE_BODIES: usize = 4 * MEMORY_MB * 1_000_000 / BODY_BYTES;

/// Length of a body far over the limit.
const HUGE_BODY_BYTES: usize = 16 * BODY_BYTES;

/// Clients that pipeline requests which a model engine serves.
const PIPELINED_CHATS: usize = 50;

/// Streams that the engine runs at once; twice as many readers stall.
const STALLED_STREAMS: usize = 24;

/// Prefill throughput with which the prompts of all large bodies take less than a second.
const PREFILL_TOKENS_PER_S: u64 = 1_000_000_000;

/// Tokens of a stream whose reader stalls: more than all socket buffers on its way can hold.
const STALLED_STREAM_TOKENS: u64 = 200_000;

/// A crowd is settled once its clients have written nothing for this time.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// Longest wait until a crowd is settled; one that sends slowly may go on meanwhile.
const MAX_SETTLING: Duration = Duration::from_secs(30);

/// Guards against a test without end; an ordinary caller repeats its request until then.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(90);

/// Requests that a client sends concurrently over one HTTP/2 connection.
const STREAMS_PER_CONNECTION: usize = 100;

/// Time for which descriptors are counted while requests over HTTP/2 run.
const HTTP2_SAMPLES: Duration = Duration::from_secs(3);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Start of the head of a request on each path: served by an engine, without a route, and served by
/// the instance itself.
const PATHS: [&str; 3] = [
    "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-kolanut\r\n",
    "POST /no/route HTTP/1.1\r\nhost: h\r\n",
    "GET /v1/instances HTTP/1.1\r\nhost: h\r\n",
];

const CHAT: &str = PATHS[0];

/// Lets one test run at a time, because the tests take up memory and descriptors of one machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Process under test with its stand-ins.
struct Scene {
    fleet: Fleet,
    failures: Vec<String>,
    _turn: MutexGuard<'static, ()>,
}

impl Scene {
    async fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let engine = EngineSettings {
            decode_ms: 0,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            slots: STALLED_STREAMS,
            ..EngineSettings::default()
        };
        let machine = format!("[machine]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        let fleet = FleetBuilder::default()
            .one_instance()
            .engine(engine)
            .limit(1_000_000_000, 1_000_000_000)
            .extra_settings(&machine)
            .processes(DAEMON)
            .start()
            .await;
        Self {
            fleet,
            failures: Vec::new(),
            _turn: turn,
        }
    }

    /// Plays a crowd and checks the process while its connections are open.
    async fn play(&mut self, name: &str, count: usize, script: &ClientScript) {
        let to = self.fleet.callers(0);
        let crowd = Crowd::start(to, count, script);
        let descriptors = self.wait_settled(&crowd).await;
        self.check(name, descriptors).await;
        crowd.close().await;
    }

    /// Checks the process, which has had up to `descriptors` open descriptors.
    async fn check(&mut self, name: &str, mut descriptors: usize) {
        let answer = self.ordinary_answer(&mut descriptors).await;
        let process = self.fleet.processes[0].as_mut().unwrap();
        let is_running = process.is_running();
        let peak = process.peak_memory_bytes().unwrap_or_default();
        println!("{name}: {peak} bytes at most, {descriptors} descriptors, {answer:?}");
        let mut check = |holds: bool, what: String| {
            if !holds {
                self.failures.push(format!("{name}: {what}"));
            }
        };
        check(is_running, "the process has exited".to_owned());
        check(
            peak <= MEMORY_MB as u64 * 1_000_000,
            format!("peak memory of {peak} bytes, {MEMORY_MB} MB are allowed"),
        );
        check(
            descriptors <= DESCRIPTORS,
            format!("{descriptors} descriptors, {DESCRIPTORS} are allowed"),
        );
        check(
            answer.is_ok(),
            format!("no ordinary answer, at last {answer:?}"),
        );
    }

    /// Waits until the crowd is settled; returns the highest number of descriptors.
    async fn wait_settled(&self, crowd: &Crowd) -> usize {
        let end = Instant::now() + MAX_SETTLING;
        let (mut written, mut changed) = (0, Instant::now());
        let mut descriptors = 0;
        while changed.elapsed() < SETTLED_AFTER && Instant::now() < end {
            sleep(SAMPLE_INTERVAL).await;
            descriptors = descriptors.max(self.descriptors());
            if crowd.written() != written {
                (written, changed) = (crowd.written(), Instant::now());
            }
        }
        descriptors
    }

    fn descriptors(&self) -> usize {
        let process = self.fleet.processes[0].as_ref().unwrap();
        process.open_descriptors().unwrap_or_default()
    }

    /// Sends an ordinary request until it is answered.
    ///
    /// # Errors
    ///
    /// Returns the last failure if there is no answer in time.
    async fn ordinary_answer(&self, descriptors: &mut usize) -> Result<(), String> {
        let end = Instant::now() + ORDINARY_TIMEOUT;
        let mut failure = "none".to_owned();
        while Instant::now() < end {
            let caller = Caller::new(Some("key-kolanut"));
            let body = chat_body("ordinary", 2, false);
            let send = caller.send(self.fleet.callers(0), Method::POST, CHAT_PATH, &[], body);
            match timeout_at(end, send).await {
                Ok(Ok(res)) if res.status() == StatusCode::OK => return Ok(()),
                Ok(Ok(res)) => failure = format!("status {}", res.status()),
                Ok(Err(error)) => failure = error.to_string(),
                Err(_) => return Err(format!("no response; before that: {failure}")),
            }
            *descriptors = (*descriptors).max(self.descriptors());
            sleep(REPEAT_INTERVAL).await;
        }
        Err(failure)
    }

    fn finish(self) {
        assert!(
            self.failures.is_empty(),
            "failed:\n{}",
            self.failures.join("\n")
        );
    }
}

const CHAT_PATH: &str = "/v1/chat/completions";

/// Returns the name of a path: its method and target.
fn name(path: &str) -> &str {
    path.split(" HTTP").next().unwrap()
}

fn script(start: String, piece: impl Into<Bytes>, pieces: usize) -> ClientScript {
    ClientScript {
        start: start.into(),
        piece: piece.into(),
        pieces,
    }
}

fn chunk(len: usize) -> Vec<u8> {
    let mut chunk = format!("{len:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + len, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against memory that is taken by bodies with a length which never end.
#[tokio::test(flavor = "multi_thread")]
async fn clients_unfinished_bodies_with_length() {
    let mut scene = Scene::start().await;
    for path in PATHS {
        let start = format!("{path}content-length: {BODY_BYTES}\r\n\r\n");
        let body = script(start, vec![b' '; BODY_BYTES - 1], 1);
        scene.play(name(path), LARGE_BODIES, &body).await;
    }
    scene.finish();
}

/// Guards against memory that is taken by chunked bodies which never end.
#[tokio::test(flavor = "multi_thread")]
async fn clients_unfinished_bodies_in_chunks() {
    let mut scene = Scene::start().await;
    for path in PATHS {
        let start = format!("{path}transfer-encoding: chunked\r\n\r\n");
        let body = script(start, chunk(BODY_BYTES / 100), 100);
        scene.play(name(path), LARGE_BODIES, &body).await;
    }
    scene.finish();
}

/// Guards against memory for copies of bodies beside the memory for the bodies. The body states no
/// output limit, which the instance adds.
#[tokio::test(flavor = "multi_thread")]
async fn clients_complete_large_bodies() {
    let mut scene = Scene::start().await;
    let text = "word ".repeat((BODY_BYTES - 100) / 5);
    let body = format!(
        "{{\"model\":\"ledger-7b\",\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let start = format!("{CHAT}content-length: {}\r\n\r\n", body.len());
    let body = script(start, body, 1);
    scene.play(name(CHAT), LARGE_BODIES, &body).await;
    scene.finish();
}

/// Guards against memory for each piece of a body, beside the memory for its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn clients_bodies_in_small_pieces() {
    const PIECES: usize = 2_900;
    let mut scene = Scene::start().await;
    for path in PATHS {
        let start = format!("{path}transfer-encoding: chunked\r\n\r\n");
        let body = script(start, chunk(BODY_BYTES / PIECES), PIECES);
        scene.play(name(path), LARGE_BODIES, &body).await;
    }
    scene.finish();
}

/// Guards against bodies over the limit that are kept, or that are read without end.
#[tokio::test(flavor = "multi_thread")]
async fn clients_bodies_far_over_the_limit() {
    let mut scene = Scene::start().await;
    for path in PATHS {
        let start = format!("{path}content-length: {HUGE_BODY_BYTES}\r\n\r\n");
        let body = script(start, vec![b' '; BODY_BYTES], HUGE_BODY_BYTES / BODY_BYTES);
        scene.play(name(path), LARGE_BODIES, &body).await;
        let start = format!("{path}transfer-encoding: chunked\r\n\r\n");
        let body = script(start, chunk(BODY_BYTES), HUGE_BODY_BYTES / BODY_BYTES);
        let name = format!("{} in chunks", name(path));
        scene.play(&name, LARGE_BODIES, &body).await;
    }
    scene.finish();
}

/// Guards against memory that is taken by heads of very many short fields, complete or not.
#[tokio::test(flavor = "multi_thread")]
async fn clients_very_many_header_fields() {
    const FIELDS: usize = 3_000;
    const ALLOWED_FIELDS: usize = 90;
    let mut scene = Scene::start().await;
    for path in PATHS {
        let head = script(path.to_owned(), "a:b\r\n".repeat(FIELDS), 1);
        scene.play(name(path), CONNECTIONS, &head).await;
        // Each request has fewer fields than any server refuses, and stays open for its body.
        let fields = "a:b\r\n".repeat(ALLOWED_FIELDS);
        let start = format!("{path}{fields}content-length: 9\r\n\r\n");
        let head = script(start, "", 0);
        let name = format!("{} with {ALLOWED_FIELDS} fields", name(path));
        scene.play(&name, CONNECTIONS, &head).await;
    }
    scene.finish();
}

/// Guards against memory and descriptors that are taken by pipelined requests whose responses are
/// not read.
#[tokio::test(flavor = "multi_thread")]
async fn clients_pipelined_requests_without_reading() {
    const REQUESTS: usize = 2_000;
    let mut scene = Scene::start().await;
    for path in PATHS {
        let is_chat = path == CHAT;
        let body = match is_chat {
            true => chat_body("pipelined", 2, false),
            false => Bytes::new(),
        };
        let mut request = format!("{path}content-length: {}\r\n\r\n", body.len()).into_bytes();
        request.extend_from_slice(&body);
        let requests = script(String::new(), request, REQUESTS);
        let count = if is_chat {
            PIPELINED_CHATS
        } else {
            CONNECTIONS
        };
        scene.play(name(path), count, &requests).await;
    }
    scene.finish();
}

/// Guards against descriptors that are taken by clients which stall in a head or in a body.
#[tokio::test(flavor = "multi_thread")]
async fn clients_stalled_senders() {
    let mut scene = Scene::start().await;
    for path in PATHS {
        let head = script(path.to_owned(), "", 0);
        let in_head = format!("{} in the head", name(path));
        scene.play(&in_head, CONNECTIONS, &head).await;
        let start = format!("{path}content-length: 1000\r\n\r\n");
        let body = script(start, vec![b' '; 500], 1);
        let in_body = format!("{} in the body", name(path));
        scene.play(&in_body, CONNECTIONS, &body).await;
    }
    scene.finish();
}

/// Guards against streams that nobody reads and that keep memory, descriptors and the slots of
/// engines.
#[tokio::test(flavor = "multi_thread")]
async fn clients_stalled_readers() {
    let mut scene = Scene::start().await;
    let body = chat_body("stalled", STALLED_STREAM_TOKENS, true);
    let request = format!("{CHAT}content-length: {}\r\n\r\n", body.len());
    let request = script(request, body, 1);
    scene.play(name(CHAT), 2 * STALLED_STREAMS, &request).await;
    scene.finish();
}

/// Guards against connections to backend servers that use up the descriptors, because one
/// connection of a caller carries many requests over HTTP/2.
#[tokio::test(flavor = "multi_thread")]
async fn clients_concurrent_requests_over_http2() {
    let mut scene = Scene::start().await;
    scene.fleet.service.set_faults(ServiceFaults {
        delay_ms: 5_000,
        ..ServiceFaults::default()
    });
    let to = scene.fleet.callers(0);
    let mut requests = JoinSet::new();
    for _ in 0..2 * CONNECTIONS / STREAMS_PER_CONNECTION {
        let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        for _ in 0..STREAMS_PER_CONNECTION {
            let uri = format!("http://{to}/v1/services/open").parse().unwrap();
            requests.spawn(client.get(uri));
        }
    }
    let mut descriptors = 0;
    let end = Instant::now() + HTTP2_SAMPLES;
    while Instant::now() < end {
        sleep(SAMPLE_INTERVAL).await;
        descriptors = descriptors.max(scene.descriptors());
    }
    scene.check("GET /v1/services/open", descriptors).await;
    requests.shutdown().await;
    scene.finish();
}
