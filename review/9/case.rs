//! All instances but one of each region are lost at the same moment. The remaining ones go on naming
//! the lost ones to clients, because each waits for every instance before it to take the lead.

#[path = "../standins-2/common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::{Folder, Front, HOST, Message, PLACES, Record, Store, call, client_request};

const SERVICE: &str = "wuno96b";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Instances in each region. The last one in the order of names remains.
const FRONTS_PER_REGION: usize = 6;

/// `contact-ms` and 3 s, after which a lost instance may not be named, and the answers allowed.
const LIMIT: Duration = Duration::from_millis(8_000);
const ALLOWED: u32 = 3;

/// Time for which clients look up addresses after the loss.
const WATCH_TIME: Duration = Duration::from_secs(25);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"HOST","prefix":"/puxa403/","kind":"safe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"SERVICE","max-attempts":2,"public":false,"sticky":false,"resumable":false,"gap-aim-ms":0,"home-regions":[]}],"services":[{"name":"SERVICE","health-check":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["KEY"],"priority":1,"unit":"token_count","plain-tokens":200,"rate-per-s":701236,"burst":701236,"home-regions":[]}]}"#;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let outcome = run_case(&record);
    common::verdict(&record, outcome)
}

fn start_worker(store: &Store, record: &Arc<Record>, id: &str, zone: &str) -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let entry = common::worker_entry(SERVICE, address, zone, 6, common::unix_ms());
    store.put(&format!("servers/{id}"), &entry);
    let (record, id) = (record.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::new(stream);
                loop {
                    let request = Message::read(&mut reader)?;
                    let request_id = request.header("x-hawthornquay-request-id").unwrap_or("-");
                    record.line(&format!("worker {id} runs {request_id}"));
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Hawthornquay-Request-Id: {request_id}\r\n\
                         X-Hawthornquay-Instance-Id: {id}\r\n\
                         X-Hawthornquay-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                         X-Hawthornquay-Server-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"
                    );
                    writer.write_all(text.as_bytes()).ok()?;
                }
                #[allow(unreachable_code)]
                Some(())
            });
        }
    });
    Ok(())
}

/// Returns the addresses that an instance names to the clients of a place.
fn resolve(front: &Front, (region, zone): (&str, &str)) -> Result<Vec<SocketAddr>, String> {
    let request = format!(
        "GET /api/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\nHost: x\r\n\
         Connection: close\r\n\r\n"
    );
    let answer = call(front.directory, &request, Duration::from_secs(1))?;
    if answer.status() != 200 {
        return Ok(Vec::new());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(text.split('"').filter_map(|word| word.parse().ok()).collect())
}

fn run_case(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("9");
    let store = Store::start();
    let configuration = CONFIGURATION.replace("HOST", HOST);
    let configuration = configuration.replace("SERVICE", SERVICE).replace("KEY", KEY);
    store.put("op/config", &configuration);
    let mut fronts = Vec::new();
    for (number, (region, zone)) in PLACES.into_iter().enumerate() {
        start_worker(&store, record, &format!("i-{number}"), zone)?;
        for index in 0..FRONTS_PER_REGION {
            let name = format!("front-{zone}-{index}");
            let front = Front::start(&folder.0, &name, (region, zone), store.address);
            fronts.push(front.map_err(|error| error.to_string())?);
        }
    }
    for front in &fronts {
        front.wait_until_ready(Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(5));
    let last = FRONTS_PER_REGION - 1;
    let mut lost = Vec::new();
    if common::has_trouble() {
        for (index, front) in fronts.iter_mut().enumerate() {
            if index % FRONTS_PER_REGION != last {
                front.kill();
                lost.push(front.callers);
                record.line(&format!("{} at {} is lost", front.name, front.callers));
            }
        }
    }
    let lost_at = Instant::now();
    let (mut wrong, mut last_wrong, mut number) = (0, None, 0);
    while lost_at.elapsed() < WATCH_TIME {
        for (place, region) in PLACES.into_iter().enumerate() {
            let front = &fronts[place * FRONTS_PER_REGION + last];
            let asked = lost_at.elapsed();
            let named = resolve(front, region)?;
            let dead = named.iter().filter(|address| lost.contains(address)).count();
            let is_running_named = named.len() > dead;
            record.line(&format!(
                "{} names {} addresses, {dead} of them of lost instances",
                front.name,
                named.len()
            ));
            if asked > LIMIT && dead > 0 && is_running_named {
                wrong += 1;
                last_wrong = Some(asked);
            }
            // The instance itself serves its clients meanwhile.
            number += 1;
            let id = format!("s{number:06}");
            let more = "X-Hawthornquay-Deadline-Ms: 3000\r\n";
            let text = client_request("GET", "/puxa403/2f", &id, KEY, more);
            let answer = call(front.callers, &text, Duration::from_secs(4));
            let status = answer.map(|answer| answer.status());
            record.line(&format!("client {id} at {}: {status:?}", front.name));
        }
        thread::sleep(Duration::from_millis(250));
    }
    for (index, front) in fronts.iter_mut().enumerate() {
        let is_to_run = !common::has_trouble() || index % FRONTS_PER_REGION == last;
        if is_to_run && !front.runs() {
            return Err(format!("{} has ended", front.name));
        }
    }
    record.line(&format!(
        "{wrong} answers of the directory named a lost instance beside a running one later than \
         contact-ms and 3 s after the loss ({ALLOWED} are allowed); the last one {:.1} s after it",
        last_wrong.map_or(0.0, |at: Duration| at.as_secs_f64())
    ));
    Ok(wrong > ALLOWED)
}
