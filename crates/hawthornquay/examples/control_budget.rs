//! Measures what the control traffic of a fleet of daemons costs.
//!
//! The arguments are numbers of daemons, at most 102. Each daemon is a process of its own; they are
//! spread over three regions. Prints one line for each size without and one with traffic.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{fs, path::PathBuf, time::Duration};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use support::{Caller, Fleet, FleetBuilder, chat_body};
use tokio::{task::JoinSet, time::Instant};

const REGIONS: usize = 3;
const MOST_DAEMONS: usize = 102;
const MEASURE: Duration = Duration::from_secs(10);

/// Time in which the start of the fleet settles.
const SETTLE: Duration = Duration::from_secs(8);

const REQUESTS_PER_S: u32 = 100;
const MIB: f64 = 1_048_576.0;

#[derive(Clone, Copy, Default)]
struct Cost {
    control_bytes: f64,
    /// Processor time in clock ticks.
    ticks: f64,
    resident_bytes: f64,
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .map(|text| text.parse().expect("number of daemons"))
        .collect();
    for size in if sizes.is_empty() { vec![9] } else { sizes } {
        assert!(size <= MOST_DAEMONS, "at most {MOST_DAEMONS} daemons");
        let fleet = FleetBuilder::default()
            .sized(size.div_ceil(REGIONS))
            .processes(program())
            .start()
            .await;
        tokio::time::sleep(SETTLE).await;
        measure(&fleet, false).await;
        measure(&fleet, true).await;
    }
}

/// Returns the daemon of the same build as this example.
fn program() -> PathBuf {
    let example = std::env::current_exe().expect("path of the example");
    let build = example.parent().and_then(|dir| dir.parent());
    build.expect("directory of the build").join("hawthornquayd")
}

async fn measure(fleet: &Fleet, traffic: bool) {
    let before = costs(fleet).await;
    let platform = fleet.platform.counters();
    let began = Instant::now();
    let mut calls = JoinSet::new();
    let caller = Caller::new(Some("key-kolanut"));
    let mut turn = 0;
    while began.elapsed() < MEASURE {
        if traffic {
            let (caller, to) = (caller.clone(), fleet.callers(turn % fleet.settings.len()));
            calls.spawn(async move {
                let body = chat_body("n", 16, false);
                let path = "/v1/chat/completions";
                let res = caller.send(to, Method::POST, path, &[], body).await;
                res.is_ok_and(|res| res.status() == StatusCode::OK)
            });
            turn += 1;
        }
        tokio::time::sleep(Duration::from_secs(1) / REQUESTS_PER_S).await;
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = costs(fleet).await;
    let calls_made = fleet.platform.counters();
    let answered = calls.join_all().await.into_iter().filter(|ok| *ok).count();
    let daemons = after.len() as f64;
    let rate = |of: fn(&Cost) -> f64| {
        let each = before
            .iter()
            .zip(&after)
            .map(|(b, a)| (of(a) - of(b)) / seconds);
        (
            each.clone().sum::<f64>() / daemons,
            each.fold(0.0, f64::max),
        )
    };
    let bytes = rate(|cost| cost.control_bytes);
    let ticks = rate(|cost| cost.ticks);
    let resident = after
        .iter()
        .map(|cost| cost.resident_bytes)
        .fold(0.0, f64::max);
    println!(
        "daemons={daemons} traffic={traffic} answered={answered} control_bytes_per_s={:.0} \
         worst={:.0} core_percent={:.2} worst={:.2} resident_mib_worst={:.1} \
         store_reads_per_s={:.2} store_writes_per_s={:.2} list_reads_per_s={:.2}",
        bytes.0,
        bytes.1,
        ticks.0,
        ticks.1,
        resident / MIB,
        (calls_made.reads - platform.reads) as f64 / seconds / daemons,
        (calls_made.writes - platform.writes) as f64 / seconds / daemons,
        (calls_made.list_reads - platform.list_reads) as f64 / seconds / daemons,
    );
}

async fn costs(fleet: &Fleet) -> Vec<Cost> {
    let mut costs = Vec::new();
    for (index, process) in fleet.processes.iter().enumerate() {
        let process = process.as_ref().expect("the process runs");
        let caller = Caller::new(None);
        let to = fleet.operators(index);
        let res = caller.send(to, Method::GET, "/fleet", &[], "".into()).await;
        let body = res.expect("report").into_body().collect().await;
        let report: Value = serde_json::from_slice(&body.expect("report").to_bytes()).unwrap();
        let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let field = |number: usize| fields[number].parse::<f64>().expect("number");
        costs.push(Cost {
            control_bytes: report["control_bytes"].as_f64().expect("bytes"),
            // A hundred ticks a second, so that ticks a second are percent of a core.
            ticks: field(11) + field(12),
            resident_bytes: field(21) * 4096.0,
        });
    }
    costs
}
