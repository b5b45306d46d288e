//! Handler for the messages of other instances.

use std::future::Future;

use hawthornquay_decisions::InstanceId;

use crate::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardSink, LinkError,
    LoanGrant, LoanRequest, Notice, PermitGrant, PermitRequest,
};

/// Handles the messages of other instances.
///
/// The calls of one link run concurrently. A call is not cancelled when its link ends; a forwarded
/// request can detect that through [`ForwardSink::cancelled`].
pub trait PeerService: Send + Sync + 'static {
    /// Called when the handshake of an incoming link has failed. Does nothing by default.
    fn handle_refused_link(&self, error: &LinkError) {
        let _ = error;
    }

    /// Handles a one-way message.
    fn handle_notice(&self, from: &InstanceId, notice: Notice) -> impl Future<Output = ()> + Send;

    /// Returns a part of a bundle.
    fn fetch_bundle(
        &self,
        from: &InstanceId,
        request: BundleFetch,
    ) -> impl Future<Output = BundleContent> + Send;

    /// Lends a part of an organisation's limit.
    fn lend(
        &self,
        from: &InstanceId,
        request: LoanRequest,
    ) -> impl Future<Output = LoanGrant> + Send;

    /// Grants capacity of a failure domain to an instance of another region.
    fn grant_capacity(
        &self,
        from: &InstanceId,
        request: CapacityRequest,
    ) -> impl Future<Output = CapacityGrant> + Send;

    /// Decides whether another instance may send a request to a limited backend server. Denies it by
    /// default.
    fn grant_permit(
        &self,
        from: &InstanceId,
        request: PermitRequest,
    ) -> impl Future<Output = PermitGrant> + Send {
        let _ = (from, request);
        async { PermitGrant::default() }
    }

    /// Runs a forwarded request and sends the response through `sink`.
    fn forward(
        &self,
        from: &InstanceId,
        request: Forward,
        sink: ForwardSink,
    ) -> impl Future<Output = ()> + Send;
}
