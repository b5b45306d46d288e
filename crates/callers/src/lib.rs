//! HTTP API for callers, the clients of the gateway.
//!
//! The router parses the head of a request, passes it with the unread body to a [`CallerService`]
//! and encodes refusals as JSON responses.

mod caller_key;
mod caller_service;
mod instance_list_response;
mod issued_key_response;
mod model_list_response;
mod refusal_response;
mod request_head;
mod request_outcome;
mod router;

pub use {
    caller_key::CallerKey,
    caller_service::CallerService,
    instance_list_response::{InstanceListEntry, InstanceListResponse},
    issued_key_response::IssuedKeyResponse,
    model_list_response::{ModelEntry, ModelListResponse},
    refusal_response::refusal_response,
    request_head::RequestHead,
    request_outcome::RequestOutcome,
    router::caller_router,
};
