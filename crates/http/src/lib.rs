//! HTTP server shared by the gateway daemons and the stand-ins for platform and backend servers.

mod connection_budget;
mod connection_end;
mod connection_progress;
mod drain;
mod http_server;
mod idle_announcement;
mod json_response;
mod limit_timer;
mod memory_budget;
mod open_connections;
mod read_body;
mod read_error;
mod server_limits;
mod unread_body;

pub use {
    connection_budget::ConnectionBudget,
    connection_end::{ConnectionEnd, EndReason},
    drain::IDLE_CLOSE_DELAY,
    http_server::HttpServer,
    json_response::{empty_response, json_response},
    memory_budget::{MemoryBudget, MemoryCharge},
    read_body::{read_body, read_body_with_budget, read_charged_body},
    read_error::ReadError,
    server_limits::ServerLimits,
};

/// Body of requests and responses in gotham handlers.
pub type Body = gotham::helpers::http::Body;
