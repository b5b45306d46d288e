//! Client of backend servers: model engines and plain services.
//!
//! Connecting and sending are separate steps. A failure before any byte was written is known as
//! `not-run`; every later one is `unknown`.

mod answer;
mod answer_body;
mod backend_client;
mod backend_error;
mod backend_request;
mod client_limits;
mod connection;
mod connection_pool;
mod order_answer;

pub use {
    answer::Answer, answer_body::AnswerBody, backend_client::BackendClient,
    backend_error::BackendError, backend_request::BackendRequest, client_limits::ClientLimits,
    connection::Connection, order_answer::OrderAnswer,
};
