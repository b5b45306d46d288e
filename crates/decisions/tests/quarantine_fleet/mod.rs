//! Simulation of instances and backend servers, some of whose requests crash servers.

#![allow(dead_code)]

mod fleet;
mod outcome;
mod scenario;
mod server;

use std::ops::Range;

pub use {
    outcome::Outcome,
    scenario::{Crashing, Scenario},
};

/// Returns the seeds of a test: `count` from 0 on, or those given by the environment.
pub fn seeds(count: u64) -> Range<u64> {
    let variable = |name| {
        std::env::var(name)
            .ok()
            .and_then(|value| value.parse().ok())
    };
    let first = variable("QUARANTINE_FIRST").unwrap_or(0);
    first..first + variable("QUARANTINE_SEEDS").unwrap_or(count)
}
