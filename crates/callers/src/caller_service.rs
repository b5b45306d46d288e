//! Operations of the gateway that the router calls.

use futures_util::future::BoxFuture;
use hawthornquay_decisions::{Refusal, RequestId};
use hawthornquay_http::Body;
use http::Response;

use crate::{
    InstanceListResponse, IssuedKeyResponse, ModelListResponse, RequestHead, RequestOutcome,
};

/// Gateway that handles the requests of the router.
pub trait CallerService: Send + Sync + 'static {
    /// Returns a new request identifier.
    fn next_request_id(&self) -> RequestId;

    /// Runs a chat completion on a model engine.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is invalid, not admitted or cannot be run.
    fn complete(
        &self,
        head: RequestHead,
        body: Body,
    ) -> BoxFuture<'_, Result<Response<Body>, Refusal>>;

    /// Runs a request to a plain service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is invalid, not admitted or cannot be run.
    fn call_service(
        &self,
        head: RequestHead,
        body: Body,
    ) -> BoxFuture<'_, Result<Response<Body>, Refusal>>;

    /// Returns the models that the caller may use.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected.
    fn models(&self, head: &RequestHead) -> Result<ModelListResponse, Refusal>;

    /// Returns the instances that the caller may use.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected.
    fn instances(&self, head: &RequestHead) -> Result<InstanceListResponse, Refusal>;

    /// Returns the outcome of an earlier request of the same organisation.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected or this instance has no record of the request.
    fn outcome(&self, head: &RequestHead, id: &RequestId) -> Result<RequestOutcome, Refusal>;

    /// Issues an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected or too many idempotency keys are stored.
    fn issue_idempotency_key(&self, head: &RequestHead) -> Result<IssuedKeyResponse, Refusal>;
}
