//! HTTP interface for callers.
//!
//! The router reads the head of a request, hands it with the unread body to a [`CallerService`],
//! and writes refusals as JSON.

mod answer_error;
mod caller_key;
mod caller_list_answer;
mod caller_service;
mod issued_key_answer;
mod model_list_answer;
mod request_head;
mod request_outcome;
mod router;

pub use {
    answer_error::refusal_response,
    caller_key::CallerKey,
    caller_list_answer::{CallerListAnswer, CallerListEntry},
    caller_service::CallerService,
    issued_key_answer::IssuedKeyAnswer,
    model_list_answer::{ModelEntry, ModelListAnswer},
    request_head::RequestHead,
    request_outcome::RequestOutcome,
    router::caller_router,
};
