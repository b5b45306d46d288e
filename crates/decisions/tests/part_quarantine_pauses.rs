//! Quarantine of prompt parts in a simulated fleet whose sound requests pause around the crashes.
//!
//! `QUARANTINE_SEEDS` sets the number of seeds of each test and `QUARANTINE_FIRST` the first of them.

mod quarantine_fleet;

use quarantine_fleet::{Crashing, Outcome, Scenario, seeds};

/// Requests with a crashing part that may reach servers over 5 s after its fifth crash.
const MAX_LATE: usize = 3;

/// Time from the fifth crash after which sound requests begin at least half as often as without crashes.
const RECOVERY_MS: u64 = 10_000;

/// Share of the sound requests that begin at the first attempt after this time; nearly all do without
/// crashes.
const MIN_SHARE: f64 = 0.5;

/// Plays a scenario whose requests with the crashing part all share the parts of a caller.
fn play(scenario: Scenario) {
    let scenario = scenario.crashing(&[Crashing::SubjectOfOneFirstPart]);
    let context = format!("{scenario:?}");
    let outcome: Outcome = scenario.clone().play();
    let late = outcome.crashing_late();
    assert!(late <= MAX_LATE, "{late} late requests: {context}");
    let crashes = &outcome.crashes[&scenario.crashing_part(0)];
    let from = crashes.get(4).or(crashes.last()).unwrap() + RECOVERY_MS;
    let arrived = outcome.caller_arrived.iter().filter(|&&at| at >= from);
    assert!(arrived.count() >= 20, "too few requests: {context}");
    let begun = outcome.caller_share(from);
    assert!(
        begun > MIN_SHARE,
        "{begun:.2} of the caller's sound requests begin: {context}"
    );
}

/// Returns a scenario with a pause that ends after the decision about the crashing part.
fn paused(scenario: Scenario) -> Scenario {
    Scenario {
        pause: 0..28_000,
        share: 0.03,
        crashing_from: 12_000,
        until: 60_000,
        ..scenario
    }
}

/// Guards against the loss of the sound requests of a caller that come only after the crashes.
#[test]
fn pause_until_after_crashes_caller_served() {
    for seed in seeds(6) {
        play(paused(Scenario::new(seed)));
    }
}

/// As above, with sound requests that were answered before, but are remembered no more.
#[test]
fn pause_after_sound_requests_caller_served() {
    for seed in seeds(6) {
        play(Scenario {
            pause: 6_000..32_000,
            crashing_from: 18_000,
            ..paused(Scenario::new(seed))
        });
    }
}

/// As above, with several parts that the sound requests share with the crashing ones.
#[test]
fn pause_of_requests_with_several_shared_parts_caller_served() {
    for seed in seeds(6) {
        for caller_parts in [1, 2] {
            play(Scenario {
                caller_parts,
                ..paused(Scenario::new(seed))
            });
        }
    }
}

/// As above, with lost updates and wrong clocks.
#[test]
fn pause_with_lost_updates_and_clock_errors_caller_served() {
    for seed in seeds(4) {
        play(Scenario {
            loss: 0.3,
            clock_error: 300,
            ..paused(Scenario::new(seed))
        });
    }
}

/// As above, with crashes after the first events.
#[test]
fn pause_with_crashes_after_first_events_caller_served() {
    for seed in seeds(4) {
        for times in [5..40, 100..400] {
            play(Scenario {
                crash_after: Some(times),
                ..paused(Scenario::new(seed))
            });
        }
    }
}

/// As above, in a large fleet, where each instance gets few of the caller's requests.
#[test]
fn pause_in_grown_fleet_caller_served() {
    for seed in seeds(2) {
        play(paused(Scenario::grown(seed)));
    }
}
