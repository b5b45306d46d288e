//! What the router needs from the gateway.

use futures_util::future::BoxFuture;
use hawthornquay_decisions::{Refusal, RequestId};
use hawthornquay_http::Body;
use http::Response;

use crate::{
    InstanceListResponse, IssuedKeyResponse, ModelListResponse, RequestHead, RequestOutcome,
};

/// Gateway behind the router.
pub trait CallerService: Send + Sync + 'static {
    /// Returns the identifier of the next request.
    fn next_request_id(&self) -> RequestId;

    /// Runs a model request.
    fn complete(
        &self,
        head: RequestHead,
        body: Body,
    ) -> BoxFuture<'_, Result<Response<Body>, Refusal>>;

    /// Runs a request to a plain service.
    fn call_service(
        &self,
        head: RequestHead,
        body: Body,
    ) -> BoxFuture<'_, Result<Response<Body>, Refusal>>;

    /// Lists the models that the caller can use.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected.
    fn models(&self, head: &RequestHead) -> Result<ModelListResponse, Refusal>;

    /// Lists the instances that the caller may use.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected.
    fn instances(&self, head: &RequestHead) -> Result<InstanceListResponse, Refusal>;

    /// Returns the outcome of an earlier request of the same organisation.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected or the request is not known here.
    fn outcome(&self, head: &RequestHead, id: &RequestId) -> Result<RequestOutcome, Refusal>;

    /// Issues an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the key is rejected or too many keys are held.
    fn issue_idempotency_key(&self, head: &RequestHead) -> Result<IssuedKeyResponse, Refusal>;
}
