//! Fleet of instances and stand-ins in the process of a test.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod caller;
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
    caller::{Answer, Caller, chat_body},
    daemon_process::DaemonProcess,
    delay_relay::{DelayRelay, Direction},
    fake_backend::FakeBackend,
    fault_relay::{FaultRelay, RelayFault},
    fleet::{Fleet, now, wait_until},
    fleet_builder::FleetBuilder,
    log_buffer::LogBuffer,
    network::{Network, REGION_ONE_WAY},
    raw_caller::{RawAnswer, RawCaller, read_answer},
};
