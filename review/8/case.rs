//! Another writer leaves entries with bytes that cannot be read among those of the workers. The
//! instances no longer read the list at all, and go on sending to a worker that is leaving.

#[path = "../standins-2/common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::{Folder, Front, HOST, Message, PLACES, Record, Store, call, client_request};

const SERVICE: &str = "wuno96b";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Entries of another writer, and their length: `value-bytes`.
const ODD_ENTRIES: usize = 7;
const ODD_BYTES: usize = 1_048_576;

/// `drain-ms`.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time for which the worker serves after its report, and for which clients send afterwards.
const LINGER: Duration = Duration::from_secs(12);
const SEND_TIME: Duration = Duration::from_secs(15);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"HOST","prefix":"/pule252/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"SERVICE","max-attempts":1,"public":false,"sticky":false,"resumable":false,"gap-aim-ms":0,"home-regions":[]}],"services":[{"name":"SERVICE","health-check":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["KEY"],"priority":1,"unit":"token_count","plain-tokens":200,"rate-per-s":701236,"burst":701236,"home-regions":[]}]}"#;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let outcome = run_case(&record);
    common::verdict(&record, outcome)
}

/// Requests that reached workers: the worker, the request and the time.
type Arrivals = Arc<Mutex<Vec<(String, String, Instant)>>>;

fn start_worker(record: &Arc<Record>, arrivals: &Arrivals, id: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (record, arrivals, id) = (record.clone(), arrivals.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals, id) = (record.clone(), arrivals.clone(), id.clone());
            thread::spawn(move || -> Option<()> {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::new(stream);
                loop {
                    let request = Message::read(&mut reader)?;
                    let request_id = request.header("x-hawthornquay-request-id").unwrap_or("-");
                    if request.target() != "/healthz" {
                        record.line(&format!("worker {id} runs {request_id}"));
                        let arrival = (id.clone(), request_id.to_owned(), Instant::now());
                        arrivals.lock().unwrap().push(arrival);
                        thread::sleep(Duration::from_millis(15));
                    }
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Hawthornquay-Request-Id: {request_id}\r\n\
                         X-Hawthornquay-Instance-Id: {id}\r\n\
                         X-Hawthornquay-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                         X-Hawthornquay-Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"
                    );
                    writer.write_all(text.as_bytes()).ok()?;
                }
            });
        }
    });
    Ok(address)
}

fn run_case(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("8");
    let store = Store::start();
    let configuration = CONFIGURATION.replace("HOST", HOST);
    let configuration = configuration.replace("SERVICE", SERVICE).replace("KEY", KEY);
    store.put("op/config", &configuration);
    let arrivals = Arrivals::default();
    let mut leaving = None;
    for number in 0..PLACES.len() {
        let (id, zone) = (format!("i-{number}"), PLACES[number].1);
        let address = start_worker(record, &arrivals, &id)?;
        let entry = common::worker_entry(SERVICE, address, zone, 6, common::unix_ms());
        store.put(&format!("servers/{id}"), &entry);
        leaving = leaving.or(Some((id, entry)));
    }
    let (leaving_id, leaving_entry) = leaving.ok_or("no worker")?;
    let mut fronts = Vec::new();
    for (number, place) in PLACES.into_iter().enumerate() {
        let name = format!("front-{number}");
        let front = Front::start(&folder.0, &name, place, store.address);
        fronts.push(front.map_err(|error| error.to_string())?);
    }
    for front in &fronts {
        front.wait_until_ready(Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(5));
    if common::has_trouble() {
        // Bytes that are no JSON.
        let odd: String = std::iter::repeat_n('\u{1}', ODD_BYTES).collect();
        for number in 0..ODD_ENTRIES {
            store.put(&format!("servers/x-{number}"), &odd);
        }
        record.line(&format!("another writer has left {ODD_ENTRIES} entries"));
    }
    thread::sleep(Duration::from_secs(6));
    let draining = leaving_entry.replace(r#""state":"ready""#, r#""state":"draining""#);
    store.put(&format!("servers/{leaving_id}"), &draining);
    let accepted = Instant::now();
    record.line(&format!("the store has accepted that {leaving_id} is draining"));
    let (mut number, mut answered) = (0, 0);
    while accepted.elapsed() < SEND_TIME.min(LINGER) {
        for front in &fronts {
            number += 1;
            let id = format!("u{number:06}");
            let more = "X-Hawthornquay-Deadline-Ms: 3000\r\n";
            let text = client_request("POST", "/pule252/2f", &id, KEY, more);
            let answer = call(front.callers, &text, Duration::from_secs(4));
            let status = answer.map(|answer| answer.status());
            answered += u32::from(status == Ok(200));
            record.line(&format!("client {id} at {}: {status:?}", front.name));
        }
        thread::sleep(Duration::from_millis(30));
    }
    for front in &mut fronts {
        if !front.runs() {
            return Err(format!("{} has ended", front.name));
        }
        for line in front.log_lines("the store is lost").iter().take(2) {
            record.line(&format!("log of {}: {line}", front.name));
        }
    }
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|(id, _, at)| *id == leaving_id && *at > accepted + DRAIN);
    let late = late.count();
    record.line(&format!(
        "{late} requests reached the leaving worker later than drain-ms after the acknowledgement; \
         {answered} of {number} requests were answered"
    ));
    Ok(late > 0)
}
