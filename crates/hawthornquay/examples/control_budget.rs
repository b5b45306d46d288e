//! Measures the bytes, CPU time, memory and store calls that a fleet of daemons spends on control
//! traffic.
//!
//! Each argument is a number of daemons, at most 102. Each daemon runs in a process of its own; the
//! daemons are spread over three regions. For each size, prints one line without and one with
//! caller traffic.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{fs, path::PathBuf, time::Duration};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use support::{Caller, Fleet, FleetBuilder, chat_body};
use tokio::{task::JoinSet, time::Instant};

const REGIONS: usize = 3;
const MAX_DAEMONS: usize = 102;
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Time before the first measurement, in which the start-up traffic of the fleet ends.
const SETTLING_TIME: Duration = Duration::from_secs(8);

const REQUESTS_PER_S: u32 = 100;
const MIB: f64 = 1_048_576.0;

#[derive(Clone, Copy, Default)]
struct Cost {
    control_bytes: f64,
    /// CPU time in clock ticks.
    cpu_ticks: f64,
    resident_bytes: f64,
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .map(|text| text.parse().expect("number of daemons"))
        .collect();
    for size in if sizes.is_empty() { vec![9] } else { sizes } {
        assert!(size <= MAX_DAEMONS, "at most {MAX_DAEMONS} daemons");
        let fleet = FleetBuilder::default()
            .three_regions_of(size.div_ceil(REGIONS))
            .processes(daemon_path())
            .start()
            .await;
        tokio::time::sleep(SETTLING_TIME).await;
        measure(&fleet, false).await;
        measure(&fleet, true).await;
    }
}

/// Returns the path of `hawthornquayd` in the build directory of this example.
fn daemon_path() -> PathBuf {
    let example = std::env::current_exe().expect("path of the example");
    let build = example.parent().and_then(|dir| dir.parent());
    build.expect("directory of the build").join("hawthornquayd")
}

async fn measure(fleet: &Fleet, traffic: bool) {
    let before = costs(fleet).await;
    let calls_before = fleet.platform.counters();
    let started = Instant::now();
    let mut calls = JoinSet::new();
    let caller = Caller::new(Some("key-kolanut"));
    let mut sent = 0;
    while started.elapsed() < MEASUREMENT_TIME {
        if traffic {
            let (caller, to) = (caller.clone(), fleet.callers(sent % fleet.settings.len()));
            calls.spawn(async move {
                let body = chat_body("n", 16, false);
                let path = "/v1/chat/completions";
                let res = caller.send(to, Method::POST, path, &[], body).await;
                res.is_ok_and(|res| res.status() == StatusCode::OK)
            });
            sent += 1;
        }
        tokio::time::sleep(Duration::from_secs(1) / REQUESTS_PER_S).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = costs(fleet).await;
    let calls_after = fleet.platform.counters();
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
    let ticks = rate(|cost| cost.cpu_ticks);
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
        (calls_after.reads - calls_before.reads) as f64 / seconds / daemons,
        (calls_after.writes - calls_before.writes) as f64 / seconds / daemons,
        (calls_after.list_reads - calls_before.list_reads) as f64 / seconds / daemons,
    );
}

async fn costs(fleet: &Fleet) -> Vec<Cost> {
    let mut costs = Vec::new();
    for (index, process) in fleet.processes.iter().enumerate() {
        let process = process.as_ref().expect("the process is running");
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
            // There are 100 ticks a second, so one tick per second is one per cent of a core.
            cpu_ticks: field(11) + field(12),
            resident_bytes: field(21) * 4096.0,
        });
    }
    costs
}
