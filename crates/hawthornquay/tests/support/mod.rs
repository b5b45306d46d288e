//! Fleet of instances and stand-ins for tests.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses some of the items"
)]

mod caller;
mod crowd;
mod daemon_process;
mod delay_relay;
mod fake_backend;
mod fault_relay;
mod fleet;
mod fleet_builder;
mod log_buffer;
mod network;
mod raw_caller;

pub use {
    caller::{BufferedResponse, Caller, chat_body},
    crowd::{ClientScript, Crowd},
    daemon_process::DaemonProcess,
    delay_relay::{DelayRelay, Direction},
    fake_backend::FakeBackend,
    fault_relay::{FaultRelay, RelayFault},
    fleet::{Fleet, now, wait_until},
    fleet_builder::FleetBuilder,
    log_buffer::LogBuffer,
    network::{Network, REGION_ONE_WAY},
    raw_caller::{RawCaller, RawResponse, read_response},
};
