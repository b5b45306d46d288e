//! HTTP server loop shared by the daemon and the stand-ins.

mod http_server;
mod json_response;
mod read_body;
mod read_error;
mod server_limits;

pub use {
    http_server::HttpServer,
    json_response::{empty_response, json_response},
    read_body::{read_body, read_body_with_budget},
    read_error::ReadError,
    server_limits::ServerLimits,
};

/// Body type of requests and responses in handlers.
pub type Body = gotham::helpers::http::Body;
