//! Measures the time from the acceptance of a bundle until it is in force at all instances.
//!
//! The fleet has nine instances in three regions, with a one-way delay of 55 ms between regions.
//! The argument is the number of changes for each kind of fault. Prints one line for each kind.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use hawthornquay_standins::PlatformFaults;
use support::{Fleet, FleetBuilder};
use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(1);

const DEFAULT_CHANGES_PER_FAULT: usize = 60;

#[tokio::main]
async fn main() {
    let changes = std::env::args()
        .nth(1)
        .map_or(DEFAULT_CHANGES_PER_FAULT, |text| {
            text.parse().expect("number of changes")
        });
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let no_faults = PlatformFaults::default();
    let kinds = [
        ("none", no_faults),
        (
            "silent watches",
            PlatformFaults {
                hold_watches: true,
                ..no_faults
            },
        ),
        (
            "lost answers",
            PlatformFaults {
                lose_answers: 3,
                ..no_faults
            },
        ),
        (
            "answers after 500 ms",
            PlatformFaults {
                delay_ms: 500,
                ..no_faults
            },
        ),
    ];
    let mut version = 1;
    for (fault, faults) in kinds {
        let mut times = Vec::new();
        for _ in 0..changes {
            version += 1;
            fleet.platform.set_faults(faults);
            times.push(time_rollout(&mut fleet, version).await);
        }
        print_times(fault, times);
    }
    fleet.stop_instance(0).await;
    fleet.platform.set_faults(no_faults);
    let mut times = Vec::new();
    for _ in 0..changes {
        version += 1;
        times.push(time_rollout(&mut fleet, version).await);
    }
    print_times("one watcher stopped", times);
}

/// Accepts a version and returns the time until all running instances have it in force.
async fn time_rollout(fleet: &mut Fleet, version: u64) -> Duration {
    fleet.accept(version).await.expect("the bundle is accepted");
    let accepted = Instant::now();
    let in_force = |fleet: &Fleet| {
        let mut running = fleet.daemons.iter().flatten();
        running.all(|daemon| daemon.node().bundle.version() == version)
    };
    while !in_force(fleet) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    accepted.elapsed()
}

fn print_times(fault: &str, mut times: Vec<Duration>) {
    times.sort();
    let quantile = |q: f64| times[((times.len() - 1) as f64 * q).ceil() as usize].as_millis();
    println!(
        "fault={fault} changes={} p50_ms={} p99_ms={} worst_ms={}",
        times.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
    );
}
