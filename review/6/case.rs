//! A prompt part crashes each worker that begins to write an answer on it: the worker writes the head
//! and the first event, and ends in the middle of the second one. Counts the requests with this part
//! that reach workers later than `contact-ms` after the fifth crash. With FIRST_EVENT=0, the workers
//! crash before they write anything.

#[path = "../standins-2/common.rs"]
mod common;

use std::{
    env,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{Folder, Front, HOST, Message, PLACES, Record, Store, call, client_request};

const SERVICE: &str = "huvo11a";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Part that crashes workers, and the part that all requests share.
const CRASHING: &str = "dead0001";
const SHARED: &str = "aa000001";

/// Workers in each region, and the time until a crashed one is back.
const WORKERS_PER_REGION: usize = 2;
const RESTART_TIME: Duration = Duration::from_secs(2);

/// `contact-ms`, and the number of late requests that the rule allows.
const CONTACT: Duration = Duration::from_secs(5);
const ALLOWED: usize = 3;

const RUN_TIME: Duration = Duration::from_secs(30);
/// Events of a stream; the largest number that the site file gives for such a request.
const EVENTS: usize = 12;
const CRASHING_INTERVAL: Duration = Duration::from_millis(900);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"HOST","prefix":"/pufi791/","kind":"streaming","timeout-ms":3000,"target-latency-ms":1200,"priority":0,"service":"SERVICE","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":300,"home-regions":[]}],"services":[{"name":"SERVICE","health-check":"/healthz","max-connections":630,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":128,"kv-capacity-tokens":680435,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["KEY"],"priority":1,"unit":"token_count","plain-tokens":200,"rate-per-s":701236,"burst":701236,"home-regions":[]}]}"#;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    if args.get(1).is_some_and(|word| word == "worker") {
        return run_worker(&args[2..]);
    }
    let record = Record::create(Path::new(&args[1]));
    let outcome = run_case(&record);
    common::verdict(&record, outcome)
}

// --- Worker, a process of its own ---

/// Answers requests until a request with the crashing part ends the process.
fn run_worker(args: &[String]) -> ExitCode {
    let [address, id, crashes] = args else {
        return ExitCode::from(2);
    };
    let Ok(listener) = TcpListener::bind(address.as_str()) else {
        return ExitCode::from(3);
    };
    let (id, crashes): (Arc<str>, bool) = (id.as_str().into(), crashes == "crashes");
    let running = Arc::new(Mutex::new(Vec::new()));
    println!("listening");
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.clone(), running.clone());
        thread::spawn(move || serve(stream, &id, crashes, &running));
    }
    ExitCode::SUCCESS
}

fn serve(stream: TcpStream, id: &str, crashes: bool, running: &Mutex<Vec<String>>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = Message::read(&mut reader)?;
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        if request.target() == "/healthz" || request.target() == "/api/report" {
            let runs = running.lock().unwrap().clone();
            let rows: Vec<String> = runs.iter().map(|run| format!(r#"["{run}",1,1,0]"#)).collect();
            let body = format!(
                r#"{{"queued":0,"running":{},"runs":[{}]}}"#,
                runs.len(),
                rows.join(",")
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Hawthornquay-Instance-Id: {id}\r\n\
                 X-Hawthornquay-Server-Load: {},0,128\r\nContent-Length: {}\r\n\r\n{body}",
                runs.len(),
                body.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            continue;
        }
        let request_id = header("x-hawthornquay-request-id");
        if header("x-hawthornquay-expected-instance") != id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Hawthornquay-Request-Id: {request_id}\r\n\
                 X-Hawthornquay-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let is_crashing = header("x-hawthornquay-prompt-prefix").contains(CRASHING);
        let kind = if is_crashing { "crashing" } else { "sound" };
        println!("arrived {kind} {request_id}");
        running.lock().unwrap().push(request_id.clone());
        // The prompt is prefilled.
        thread::sleep(Duration::from_millis(80));
        if is_crashing && crashes && env::var("FIRST_EVENT").as_deref() == Ok("0") {
            std::process::exit(101);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Hawthornquay-Request-Id: {request_id}\r\n\
             X-Hawthornquay-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             X-Hawthornquay-Server-Load: {},0,128\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            running.lock().unwrap().len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        for event in 1..=EVENTS {
            let data = format!("id: {event}\ndata: part {event} of the answer\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            writer.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(25));
            if is_crashing && crashes {
                // The crash cuts off the stream in the middle of the second event.
                let _ = writer.write_all(b"2d\r\nid: 2\ndata: pa");
                std::process::exit(101);
            }
        }
        writer.write_all(b"0\r\n\r\n").ok()?;
        running.lock().unwrap().retain(|run| *run != request_id);
        println!("answered {kind} {request_id}");
    }
}

// --- The case ---

#[derive(Default)]
struct Seen {
    /// Times of the crashes, and of the arrivals of requests with the crashing part.
    crashes: Vec<Instant>,
    arrivals: Vec<Instant>,
}

/// Keeps one worker running until the end of the case: a crashed one is back under a new id.
fn keep_worker(
    index: usize,
    zone: &str,
    store: &Arc<Store>,
    record: &Arc<Record>,
    seen: &Arc<Mutex<Seen>>,
    ended: &AtomicBool,
) -> Result<(), String> {
    let addresses = common::unused_addresses(1).map_err(|error| error.to_string())?;
    let address: SocketAddr = *addresses.first().ok_or("no free port")?;
    let program = env::current_exe().map_err(|error| error.to_string())?;
    for start in 0.. {
        let id = format!("i-{index}-{start}");
        let mut child = Command::new(&program)
            .args(["worker", &address.to_string(), &id])
            .arg(if common::has_trouble() { "crashes" } else { "sound" })
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let (reader_record, reader_seen, reader_id) = (record.clone(), seen.clone(), id.clone());
        let (store_of, zone_of) = (store.clone(), zone.to_owned());
        let reading = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                reader_record.line(&format!("worker {reader_id}: {line}"));
                if line.starts_with("arrived crashing") {
                    reader_seen.lock().unwrap().arrivals.push(Instant::now());
                }
                if line == "listening" {
                    let born = common::unix_ms();
                    let entry = common::worker_entry(SERVICE, address, &zone_of, 128, born);
                    store_of.put(&format!("servers/{reader_id}"), &entry);
                }
            }
        });
        let code = loop {
            if ended.load(Ordering::Relaxed) {
                let _ = child.kill();
            }
            match child.try_wait() {
                Ok(Some(status)) => break status.code(),
                _ => thread::sleep(Duration::from_millis(5)),
            }
        };
        let at = Instant::now();
        let _ = reading.join();
        if ended.load(Ordering::Relaxed) {
            return Ok(());
        }
        if code != Some(101) {
            return Err(format!("worker {id} ended with {code:?}"));
        }
        seen.lock().unwrap().crashes.push(at);
        record.line(&format!("worker {id} crashed"));
        // Its entry expires after three heartbeat intervals of silence.
        let (store, entry) = (store.clone(), format!("servers/{id}"));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.delete(&entry);
        });
        thread::sleep(RESTART_TIME);
    }
    Ok(())
}

fn prompt(number: u64, is_crashing: bool) -> String {
    let second = match is_crashing {
        true => CRASHING.to_owned(),
        false => format!("bb{:06x}", number % 20),
    };
    format!(
        "X-Hawthornquay-Model: m\r\nX-Hawthornquay-Token-Usage: 1800,84\r\n\
         X-Hawthornquay-Prompt-Prefix: {SHARED}:341,{second}:227,cc{number:08x}:1232\r\n\
         X-Hawthornquay-Deadline-Ms: 3000\r\n"
    )
}

fn run_case(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("6");
    let store = Store::start();
    let configuration = CONFIGURATION.replace("HOST", HOST);
    let configuration = configuration.replace("SERVICE", SERVICE).replace("KEY", KEY);
    store.put("op/config", &configuration);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let ended = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for index in 0..WORKERS_PER_REGION * PLACES.len() {
        let zone = PLACES[index % PLACES.len()].1;
        let (store, record) = (store.clone(), record.clone());
        let (seen, ended) = (seen.clone(), ended.clone());
        workers.push(thread::spawn(move || {
            keep_worker(index, zone, &store, &record, &seen, &ended)
        }));
    }
    let outcome = measure(record, &folder, &store);
    // The workers end in any case.
    ended.store(true, Ordering::Relaxed);
    for worker in workers {
        worker.join().map_err(|_| "a worker's keeper failed")??;
    }
    let (whole, all) = outcome?;
    judge(record, &seen.lock().unwrap(), whole, all)
}

/// Sends the requests; returns how many sound ones got a whole answer, and how many there were.
fn measure(
    record: &Arc<Record>,
    folder: &Folder,
    store: &Arc<Store>,
) -> Result<(usize, usize), String> {
    thread::sleep(Duration::from_millis(500));
    let mut fronts = Vec::new();
    for (number, place) in PLACES.into_iter().enumerate() {
        let name = format!("front-{number}");
        let front = Front::start(&folder.0, &name, place, store.address);
        fronts.push(front.map_err(|error| error.to_string())?);
    }
    for front in &fronts {
        front.wait_until_ready(Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<SocketAddr> = fronts.iter().map(|front| front.callers).collect();
    let next = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + RUN_TIME;
    let send = |callers: Vec<SocketAddr>, interval: Duration, is_crashing: bool| {
        let (record, next) = (record.clone(), next.clone());
        thread::spawn(move || {
            let (mut calls, mut at) = (Vec::new(), Instant::now());
            while at < until {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let address = callers[number as usize % callers.len()];
                let record = record.clone();
                calls.push(thread::spawn(move || {
                    let id = format!("{}{number:06}", if is_crashing { "c" } else { "s" });
                    let more = prompt(number, is_crashing);
                    let text = client_request("POST", "/pufi791/2f", &id, KEY, &more);
                    let answer = call(address, &text, Duration::from_millis(3_500));
                    let outcome = match &answer {
                        Ok(answer) => answer.status().to_string(),
                        Err(reason) => reason.clone(),
                    };
                    record.line(&format!("client {id}: {outcome}"));
                    (answer.is_ok_and(|answer| answer.status() == 200), id)
                }));
                at += interval;
                thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            let results: Vec<bool> = calls.into_iter().map(|one| one.join().unwrap().0).collect();
            (results.iter().filter(|is_whole| **is_whole).count(), results.len())
        })
    };
    let sound = send(callers.clone(), SOUND_INTERVAL, false);
    let crashing = send(callers, CRASHING_INTERVAL, true);
    let (whole, all) = sound.join().map_err(|_| "a client failed")?;
    let _ = crashing.join();
    if !fronts.iter_mut().all(Front::runs) {
        return Err("an instance has ended".to_owned());
    }
    Ok((whole, all))
}

fn judge(record: &Record, seen: &Seen, whole: usize, all: usize) -> Result<bool, String> {
    let mut crashes = seen.crashes.clone();
    crashes.sort();
    let late = crashes.get(4).map_or(0, |fifth| {
        let late = seen.arrivals.iter().filter(|at| **at > *fifth + CONTACT);
        late.count()
    });
    record.line(&format!(
        "{} crashes; {} requests with the part reached workers, {late} of them later than \
         contact-ms after the fifth crash ({ALLOWED} are allowed); {whole} of {all} sound requests \
         got a whole answer",
        crashes.len(),
        seen.arrivals.len()
    ));
    Ok(late > ALLOWED)
}
