//! Fleet of instances and stand-ins in the process of a test.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod caller;
mod fleet;
mod fleet_builder;

pub use {
    caller::Caller,
    fleet::{Fleet, wait_until},
    fleet_builder::FleetBuilder,
};
