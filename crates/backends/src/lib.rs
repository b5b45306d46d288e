//! HTTP client for backend servers: model engines and plain services.
//!
//! Connecting and sending are separate steps. A failure before any byte of the request was written
//! has the execution `not-run`; a later failure has the execution `unknown`.

mod backend_client;
mod backend_error;
mod backend_request;
mod backend_response;
mod bounded_stream;
mod client_limits;
mod connection;
mod connection_pool;
mod order_response;
mod probe_answer;
mod request_progress;
mod response_body;

pub use {
    backend_client::BackendClient,
    backend_error::BackendError,
    backend_request::BackendRequest,
    backend_response::BackendResponse,
    client_limits::ClientLimits,
    connection::{Connection, is_final_status},
    order_response::OrderResponse,
    probe_answer::ProbeAnswer,
    response_body::ResponseBody,
};
