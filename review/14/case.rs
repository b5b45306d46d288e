//! A worker turns requests away with 503 and `Retry-After`.

#[path = "../standins-3/common.rs"]
mod common;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use common::*;

const HOST: &str = "ficu95.example";
const ZONES: [(&str, &str); 2] = [("lagos-a", "lagos"), ("abuja-a", "abuja")];

/// Seconds in `Retry-After`.
const RETRY_AFTER_S: f64 = 4.0;
/// Time that a machine has after the answer.
const SLACK_S: f64 = 0.5;
const MOST: usize = 2;

const CLIENTS_PER_S: f64 = 20.0;
/// Time in which the worker turns requests away, from the start of the traffic.
const FULL_FROM_S: f64 = 5.0;
const FULL_TO_S: f64 = 11.0;
const END_S: f64 = 18.0;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/pule252/\",\
         \"kind\":\"safe\",\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":2,\
         \"service\":\"wuno96b\",\"max-attempts\":2,\"public\":true,\"home-regions\":[]}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health-check\":\"/healthz\",\"max-connections\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[]}}"
    )
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    start_record(Path::new(&args[1]));
    let trouble = has_trouble();
    let folder = Folder::new("14");
    let store = Store::start();
    store.write("op/config", &configuration());
    let is_full = Arc::new(AtomicBool::new(false));
    // Arrivals at the worker, and the times at which it answered 503 with `Retry-After`. The one
    // instance of its region is the only machine that reaches it.
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let refusals: Arc<Mutex<Vec<f64>>> = Arc::default();
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let id = format!("i-{index:08x}");
        let entry = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            unix_ms()
        );
        store.write(&format!("servers/{id}"), &entry);
        let (arrivals, refusals, is_full) = (Arc::clone(&arrivals), Arc::clone(&refusals), Arc::clone(&is_full));
        serve(listener, move |stream, message| {
            if message.target() == "/healthz" {
                return respond(stream, "200 OK", &[("X-Hawthornquay-Instance-Id", &id)], b"");
            }
            let request = message.header("X-Hawthornquay-Request-Id").unwrap_or("").to_owned();
            if message.header("X-Hawthornquay-Expected-Instance").is_some_and(|named| named != id) {
                let headers = [("X-Hawthornquay-Request-Id", request.as_str())];
                return respond(stream, "421 Misdirected Request", &headers, b"");
            }
            let is_full = index == 0 && is_full.load(Ordering::Relaxed);
            record(&format!("worker {id}: gets {request}, {}", if is_full { "turns it away" } else { "runs it" }));
            if index == 0 {
                arrivals.lock().unwrap().push(at());
            }
            let signature = format!("3e1b.{id}");
            if is_full {
                let after = format!("{RETRY_AFTER_S:.0}");
                let headers = [
                    ("X-Hawthornquay-Request-Id", request.as_str()),
                    ("X-Hawthornquay-Response-Signature", &signature),
                    ("X-Hawthornquay-Not-Executed", "1"),
                    ("X-Hawthornquay-Server-Load", "6,24,6"),
                    ("Retry-After", &after),
                ];
                let is_sent = respond(stream, "503 Service Unavailable", &headers, b"");
                refusals.lock().unwrap().push(at());
                return is_sent;
            }
            thread::sleep(Duration::from_millis(15));
            let headers = [
                ("X-Hawthornquay-Request-Id", request.as_str()),
                ("X-Hawthornquay-Response-Signature", &signature),
                ("X-Hawthornquay-Server-Load", "1,0,6"),
            ];
            respond(stream, "200 OK", &headers, b"stock")
        });
    }
    let mut instances: Vec<Instance> = ZONES
        .iter()
        .map(|(zone, _)| Instance::new(&folder.0, &format!("front-{zone}-1"), zone, &ZONES, &store))
        .collect();
    instances.iter_mut().for_each(Instance::start);
    instances.iter().for_each(Instance::wait_ready);
    sleep_s(2.0);
    let begin = at();
    record(&format!("traffic begins; the worker turns requests away: {trouble}"));
    let address: SocketAddr = instances[0].callers;
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let mut number = 0u64;
    while at() - begin < END_S {
        sleep_until(begin + number as f64 / CLIENTS_PER_S);
        let elapsed = at() - begin;
        is_full.store(trouble && (FULL_FROM_S..FULL_TO_S).contains(&elapsed), Ordering::Relaxed);
        let statuses = Arc::clone(&statuses);
        thread::spawn(move || {
            let id = format!("{number:016x}");
            let headers = [
                ("Host", HOST),
                ("X-Hawthornquay-Request-Id", id.as_str()),
                ("X-Hawthornquay-Deadline-Ms", "3000"),
            ];
            let answer = request(address, "GET", "/pule252/2f", &headers, b"", Duration::from_millis(3500));
            let status = answer.map_or(0, |answer| answer.status());
            record(&format!("client: {id} gets {status}"));
            *statuses.lock().unwrap().entry(status).or_default() += 1;
        });
        number += 1;
    }
    sleep_s(1.0);
    drop(instances);
    say(&format!("answers by status: {:?}", statuses.lock().unwrap()));
    let (arrivals, refusals) = (arrivals.lock().unwrap(), refusals.lock().unwrap());
    let late = |refusal: &f64| {
        let span = refusal + SLACK_S..refusal + RETRY_AFTER_S;
        arrivals.iter().filter(|time| span.contains(*time)).count()
    };
    let most = refusals.iter().map(late).max().unwrap_or(0);
    say(&format!(
        "arrivals at the worker: {}; answers with Retry-After: {}; most arrivals from {SLACK_S} s after one to its \
         end: {most}; the bound is {MOST}",
        arrivals.len(),
        refusals.len()
    ));
    if arrivals.len() < 20 || (trouble && refusals.is_empty()) {
        say("the case could not run: too few requests");
        return ExitCode::from(2);
    }
    let is_broken = most > MOST;
    say(if is_broken { "BUDGET is broken" } else { "BUDGET holds" });
    ExitCode::from(u8::from(is_broken))
}
