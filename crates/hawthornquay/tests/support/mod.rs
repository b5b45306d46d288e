//! Fleet of instances and stand-ins in the process of a test.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod caller;
mod daemon_process;
mod fleet;
mod fleet_builder;
mod network;
mod relay;

pub use {
    caller::{Answer, Caller, chat_body},
    daemon_process::DaemonProcess,
    fleet::{Fleet, now, wait_until},
    fleet_builder::FleetBuilder,
    network::{Network, REGION_ONE_WAY},
    relay::{Direction, Relay},
};
