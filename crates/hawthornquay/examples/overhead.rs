//! Measures the latency that an instance adds to a request, its throughput and its memory.
//!
//! Run with `cargo run --release -p hawthornquay --example overhead`. Each engine and each instance
//! runs in a process of its own, which executes this program with other arguments.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    env, fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hawthornquay::{Daemon, read_settings};
use hawthornquay_decisions::InstanceState;
use hawthornquay_operators::Logs;
use hawthornquay_standins::{EngineSettings, ModelEngine};
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use support::{Caller, Fleet, FleetBuilder};
use tokio::{net::TcpStream, runtime::Builder, task::JoinSet};

const CHAT_PATH: &str = "/v1/chat/completions";
const AUTHORIZATION: &str = "Bearer key-kolanut";
const IDLE_CONNECTIONS: usize = 10_000;
const CALLERS: usize = 64;
const WARM_UP: Duration = Duration::from_millis(500);

/// Time between the tokens of the slow engine. Like long responses, it keeps many requests in
/// flight without saturating the cores.
const SLOW_DECODE_MS: u64 = 100;

/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Times of direct calls and of calls through an instance, in milliseconds.
type Times = (Vec<f64>, Vec<f64>);

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["engine", decode_ms] => runtime(2)?.block_on(run_engine(decode_ms.parse()?)),
        ["instance", settings, threads] => {
            runtime(threads.parse()?)?.block_on(run_instance(Path::new(settings)))
        }
        [] => runtime(4)?.block_on(measure()),
        _ => Err("this program takes no arguments".into()),
    }
}

fn runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

async fn run_engine(decode_ms: u64) -> Result<(), Failure> {
    let settings = EngineSettings {
        slots: 100_000,
        queue_limit: 100_000,
        prefill_tokens_per_s: 1_000_000_000,
        kv_capacity: 1 << 40,
        decode_ms,
        models: vec!["fast".to_owned(), "slow".to_owned()],
        ..EngineSettings::default()
    };
    let engine = ModelEngine::start((Ipv4Addr::LOCALHOST, 0).into(), settings).await?;
    println!("listening {}", engine.address());
    std::future::pending().await
}

async fn run_instance(settings: &Path) -> Result<(), Failure> {
    let settings = read_settings(settings)?;
    let logs = Logs::new(&settings.log, Box::new(std::io::stderr()));
    let daemon = Daemon::start(settings, logs).await?;
    println!("listening {}", daemon.node().settings.instance.callers);
    std::future::pending().await
}

/// Child process that is killed on drop.
struct ChildProcess(Child);

impl ChildProcess {
    fn start(arguments: &[&str]) -> Result<(Self, SocketAddr), Failure> {
        let mut child = Command::new(env::current_exe()?)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or("the child process has no standard output")?;
        let process = Self(child);
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ");
        Ok((
            process,
            address
                .ok_or("the child process printed no address")?
                .parse()?,
        ))
    }

    fn cpu_seconds(&self) -> Result<f64, Failure> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let (_, fields) = text
            .rsplit_once(") ")
            .ok_or("unknown format of /proc/<pid>/stat")?;
        let ticks = |index| -> Result<f64, Failure> {
            Ok(fields
                .split(' ')
                .nth(index)
                .ok_or("missing field in /proc/<pid>/stat")?
                .parse()?)
        };
        Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
    }

    fn resident_mb(&self) -> Result<f64, Failure> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(kib
            .ok_or("no VmRSS in /proc/<pid>/status")?
            .parse::<f64>()?
            / 1024.0)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn measure() -> Result<(), Failure> {
    let (_fast, fast) = ChildProcess::start(&["engine", "0"])?;
    let (_slow, slow) = ChildProcess::start(&["engine", &SLOW_DECODE_MS.to_string()])?;
    let mut sections = String::new();
    for (name, address) in [("fast", fast), ("slow", slow)] {
        sections += &format!(
            "[backend {name}]\nkind = model-engine\naddress = {address}\ndomain = lagos-a\n\
             models = {name}\nfencing = yes\n"
        );
    }
    let fleet = FleetBuilder::default()
        .engine_domains(&[])
        .limit(1_000_000_000, 1_000_000_000)
        .extra_sections(&sections)
        .prepare()
        .await;
    let many_threads = start_instance(&fleet, 0, "8").await?;
    let (many_threads_address, one_thread_address) = (fleet.callers(0), fleet.callers(1));
    println!("in flight  engine  direct p50 / p99 ms  through p50 / p99 ms  added p50 / p99 ms");
    for (in_flight, engine, address, seconds) in [
        (1, "fast", fast, 4),
        (64, "slow", slow, 5),
        (512, "slow", slow, 5),
    ] {
        let times =
            measure_pairs(address, many_threads_address, engine, in_flight, seconds).await?;
        print_pairs(in_flight, engine, times);
    }
    // The second instance starts only here. While a new instance takes over the polling of the
    // engines, the first one has no load reports, assumes few slots and queues requests, which
    // would distort the times above.
    let one_thread = start_instance(&fleet, 1, "1").await?;
    measure_throughput(&one_thread, one_thread_address).await?;
    drop(one_thread);
    measure_memory(&many_threads, many_threads_address).await
}

async fn start_instance(
    fleet: &Fleet,
    index: usize,
    threads: &str,
) -> Result<ChildProcess, Failure> {
    fleet.list_instance(index, InstanceState::Live);
    let settings = fleet.settings_files[index].display().to_string();
    let (process, address) = ChildProcess::start(&["instance", &settings, threads])?;
    let caller = Caller::new(Some("key-kolanut"));
    for engine in ["fast", "slow"] {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let body = chat_text(engine);
            let response = caller.call(address, Method::POST, CHAT_PATH, &[], body);
            let response = response.await;
            if response.status.is_success() {
                break;
            }
            if Instant::now() > end {
                return Err(response.text().into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(process)
}

fn chat_text(engine: &str) -> Bytes {
    let prompt = "what did lot seven sell in the second week? ".repeat(8);
    format!(
        r#"{{"model":"{engine}","messages":[{{"role":"user","content":"{prompt} nonce=m"}}],"max_tokens":2}}"#
    )
    .into()
}

/// Connection that sends its requests one after the other.
struct RequestConnection {
    sender: SendRequest<Full<Bytes>>,
    body: Bytes,
}

impl RequestConnection {
    async fn open(to: SocketAddr, body: Bytes) -> Result<Self, Failure> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender, body })
    }

    /// Sends one request and returns the time until the end of its response, in milliseconds.
    async fn run(&mut self) -> Result<f64, Failure> {
        let req = Request::post(CHAT_PATH)
            .header(header::HOST, "h")
            .header(header::AUTHORIZATION, AUTHORIZATION)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(self.body.clone()))?;
        self.sender.ready().await?;
        let started = Instant::now();
        let response = self.sender.send_request(req).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        if !status.is_success() {
            return Err(String::from_utf8_lossy(&body).into_owned().into());
        }
        Ok(elapsed_ms)
    }
}

/// Runs pairs of a direct call and a call through an instance on `in_flight` concurrent tasks.
async fn measure_pairs(
    engine_address: SocketAddr,
    instance_address: SocketAddr,
    engine: &str,
    in_flight: usize,
    seconds: u64,
) -> Result<Times, Failure> {
    let measure_from = Instant::now() + WARM_UP;
    let end = measure_from + Duration::from_secs(seconds);
    let body = chat_text(engine);
    let mut tasks = JoinSet::new();
    for task in 0..in_flight {
        let body = body.clone();
        tasks.spawn(async move {
            let mut direct = RequestConnection::open(engine_address, body.clone()).await?;
            let mut through = RequestConnection::open(instance_address, body).await?;
            let mut times = Times::default();
            // Spreads the start of the tasks, so that they do not all send at once.
            let interval = Duration::from_millis(2 * SLOW_DECODE_MS) / in_flight as u32;
            tokio::time::sleep(interval * task as u32).await;
            while Instant::now() < end {
                let pair = (direct.run().await?, through.run().await?);
                if Instant::now() > measure_from {
                    times.0.push(pair.0);
                    times.1.push(pair.1);
                }
            }
            Ok::<_, Failure>(times)
        });
    }
    let mut all = Times::default();
    while let Some(times) = tasks.join_next().await {
        let (direct, through) = times??;
        all.0.extend(direct);
        all.1.extend(through);
    }
    all.0.sort_by(f64::total_cmp);
    all.1.sort_by(f64::total_cmp);
    Ok(all)
}

fn print_pairs(in_flight: usize, engine: &str, (direct, through): Times) {
    let quantile = |times: &[f64], q: f64| times[((times.len() - 1) as f64 * q) as usize];
    let [d50, d99] = [0.5, 0.99].map(|q| quantile(&direct, q));
    let [t50, t99] = [0.5, 0.99].map(|q| quantile(&through, q));
    println!(
        "{in_flight:>9}  {engine:>6}  {d50:>8.3} / {d99:<8.3}  {t50:>9.3} / {t99:<8.3}  \
         {:>7.3} / {:<7.3}  {} pairs",
        t50 - d50,
        t99 - d99,
        direct.len(),
    );
}

/// Measures the throughput and CPU time of an instance with one worker thread: each caller sends
/// its next request as soon as the previous one is answered.
async fn measure_throughput(instance: &ChildProcess, address: SocketAddr) -> Result<(), Failure> {
    let seconds = 4.0;
    let measure_from = Instant::now() + WARM_UP;
    let end = measure_from + Duration::from_secs_f64(seconds);
    let body = chat_text("fast");
    let count = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..CALLERS {
        let (body, count) = (body.clone(), Arc::clone(&count));
        tasks.spawn(async move {
            let mut through = RequestConnection::open(address, body).await?;
            while Instant::now() < end {
                through.run().await?;
                if Instant::now() > measure_from {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
            Ok::<_, Failure>(())
        });
    }
    tokio::time::sleep_until(measure_from.into()).await;
    let before = instance.cpu_seconds()?;
    tokio::time::sleep_until(end.into()).await;
    let cpu = instance.cpu_seconds()? - before;
    while let Some(done) = tasks.join_next().await {
        done??;
    }
    let requests = count.load(Ordering::Relaxed) as f64;
    println!(
        "one worker thread, {CALLERS} callers: {:.0} requests/s, {:.0} us of CPU for each",
        requests / seconds,
        cpu / requests * 1e6,
    );
    Ok(())
}

/// Measures the memory of connections that each send one request and then stay idle.
async fn measure_memory(instance: &ChildProcess, address: SocketAddr) -> Result<(), Failure> {
    let before = instance.resident_mb()?;
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(RequestConnection::open(address, chat_text("fast")).await?);
    }
    let unused_mb = instance.resident_mb()?;
    for connection in &mut connections {
        connection.run().await?;
    }
    let open = connections
        .iter()
        .filter(|connection| !connection.sender.is_closed());
    println!(
        "resident memory: {before:.1} MB before, {unused_mb:.1} MB with {IDLE_CONNECTIONS} unused \
         connections, {:.1} MB after a request on each; {} are open",
        instance.resident_mb()?,
        open.count(),
    );
    Ok(())
}
