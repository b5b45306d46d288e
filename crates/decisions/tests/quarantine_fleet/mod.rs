//! Simulation of instances and backend servers, some of whose requests crash servers.

#![allow(dead_code)]

mod fleet;
mod outcome;
mod scenario;

pub use {
    outcome::Outcome,
    scenario::{Crashing, Scenario},
};
