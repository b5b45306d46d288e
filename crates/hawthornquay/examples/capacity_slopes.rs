//! Measures how the costs of each component grow with its size, for `docs/CAPACITY.md`.
//!
//! Runs each section three times, each time in a new process, and writes the medians to
//! `docs/capacity-figures.json`. Build the programs first with
//! `cargo build --release --workspace --bins`, then run
//! `cargo run --release -p hawthornquay --example capacity_slopes`.

#[allow(dead_code)]
#[path = "../../decisions/examples/limit_support/limit_platform.rs"]
mod limit_platform;
#[allow(dead_code)]
#[path = "../../decisions/examples/limit_support/limit_run.rs"]
mod limit_run;
#[allow(dead_code)]
#[path = "../../decisions/examples/limit_support/limit_setup.rs"]
mod limit_setup;
#[allow(dead_code)]
#[path = "../../decisions/examples/limit_support/limit_types.rs"]
mod limit_types;

#[path = "capacity_support/fleet_processes.rs"]
mod fleet_processes;
#[path = "capacity_support/gossip_section.rs"]
mod gossip_section;
#[path = "capacity_support/predictions.rs"]
mod predictions;
#[path = "capacity_support/process_sections.rs"]
mod process_sections;
#[path = "capacity_support/table_sections.rs"]
mod table_sections;

use std::{
    collections::BTreeMap, env, fmt::Display, fs, hint::black_box, mem, process::Command,
    time::Instant,
};

use serde_json::json;

const RUNS_PER_SECTION: usize = 3;

const SECTIONS: [(&str, fn()); 8] = [
    ("bundle", table_sections::bundle),
    ("members", table_sections::members),
    ("limits", table_sections::limits),
    ("loans", table_sections::loans),
    ("routing", table_sections::routing),
    ("gossip", gossip_section::gossip),
    ("request", process_sections::request),
    ("daemons", process_sections::daemons),
];

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if let [command, name] = args.as_slice()
        && command == "section"
    {
        let (_, run) = SECTIONS
            .iter()
            .find(|(section, _)| section == name)
            .unwrap();
        return run();
    }
    let (commit, dirty) = (
        git(&["rev-parse", "--short", "HEAD"]),
        git(&["diff", "--stat"]),
    );
    let mut load_averages = vec![load_average()];
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for run in 0..RUNS_PER_SECTION {
        for (name, _) in SECTIONS {
            let start = Instant::now();
            for (figure, value) in run_section(name) {
                values.entry(figure).or_default().push(value);
            }
            eprintln!("run {run}, {name}: {:.0} s", start.elapsed().as_secs_f64());
        }
        load_averages.push(load_average());
    }
    let mut medians = BTreeMap::new();
    let mut figures = BTreeMap::new();
    for (name, mut runs) in values {
        runs.sort_by(f64::total_cmp);
        let median = runs[runs.len() / 2];
        let entry = json!({"middle": median, "low": runs[0], "high": runs[runs.len() - 1]});
        figures.insert(name.clone(), entry);
        medians.insert(name, median);
    }
    let predicted: BTreeMap<_, _> = predictions::predictions(&medians)
        .into_iter()
        .map(|(name, value)| (name, rounded(value)))
        .collect();
    let date = Command::new("date").arg("+%F %H:%M").output().unwrap();
    let report = json!({
        "command": "cargo run --release -p hawthornquay --example capacity_slopes",
        "commit": commit,
        "tracked_files_changed": !dirty.is_empty(),
        "date": String::from_utf8(date.stdout).unwrap().trim(),
        "load_averages": load_averages,
        "runs": RUNS_PER_SECTION,
        "figures": figures,
        "predicted": predicted,
    });
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/capacity-figures.json"
    );
    fs::write(path, serde_json::to_string_pretty(&report).unwrap() + "\n").unwrap();
}

/// Runs a section in a new process and returns the figures that it prints.
fn run_section(name: &str) -> Vec<(String, f64)> {
    let program = env::current_exe().unwrap();
    let output = Command::new(program)
        .args(["section", name])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}: {errors}");
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(figure, value)| (figure.to_owned(), value.parse().unwrap()))
        .collect()
}

fn git(args: &[&str]) -> String {
    let output = Command::new("git").args(args).output().unwrap();
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

/// Returns the one-minute load average of the machine.
fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap();
    text.split(' ').next().unwrap().parse().unwrap()
}

/// Prints a measured figure, which the parent process reads.
fn print_figure(name: &str, size: impl Display, value: f64) {
    println!("{name}.{size} {}", rounded(value));
}

/// Rounds to four significant digits.
fn rounded(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap()
}

/// Returns the CPU time of this process, in microseconds.
fn process_cpu_us() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Returns the mean CPU time of one call, in microseconds.
fn cpu_us_per_call<T>(count: u32, mut call: impl FnMut() -> T) -> f64 {
    let start = process_cpu_us();
    for _ in 0..count {
        black_box(call());
    }
    (process_cpu_us() - start) / f64::from(count)
}

/// Returns the resident memory of a process, given as its id or `self`, in bytes.
fn resident_bytes(process: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    let kib: f64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * 1024.0
}

/// Returns the mean resident memory of a value, in bytes, measured over several equal values.
///
/// The values are leaked: memory freed by earlier values would be reused and hide the size of later
/// ones.
fn resident_bytes_per_value<T>(build: impl Fn() -> T) -> f64 {
    const COPIES: usize = 16;
    let before = resident_bytes("self");
    mem::forget(black_box((0..COPIES).map(|_| build()).collect::<Vec<T>>()));
    let after = resident_bytes("self");
    (after - before) / COPIES as f64
}
