//! Fleet of instances and stand-ins in the process of a test.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod caller;
mod fleet;
mod fleet_builder;
mod network;
mod relay;

pub use {
    caller::Caller,
    fleet::{Fleet, now, wait_until},
    fleet_builder::FleetBuilder,
    network::{Network, REGION_ONE_WAY},
    relay::{Direction, Relay},
};
