//! HTTP interface for callers.
//!
//! The router reads the head of a request, hands it with the unread body to a [`CallerService`],
//! and writes refusals as JSON.

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
