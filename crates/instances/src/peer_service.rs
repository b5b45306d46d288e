//! What an instance does for its peers.

use std::future::Future;

use hawthornquay_decisions::InstanceId;

use crate::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardSink, LinkError,
    LoanGrant, LoanRequest, Notice,
};

/// Answers to the messages of other instances.
///
/// Calls of one link run concurrently. A call goes on when its link ends, except that the sink of
/// a forward reports the cancellation.
pub trait PeerService: Send + Sync + 'static {
    /// Is told of a link that was refused before the end of its handshake.
    fn handle_refused_link(&self, error: &LinkError) {
        let _ = error;
    }

    /// Takes a message without a reply.
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

    /// Grants capacity to another region.
    fn grant_capacity(
        &self,
        from: &InstanceId,
        request: CapacityRequest,
    ) -> impl Future<Output = CapacityGrant> + Send;

    /// Runs a forwarded request and answers through `sink`.
    fn forward(
        &self,
        from: &InstanceId,
        request: Forward,
        sink: ForwardSink,
    ) -> impl Future<Output = ()> + Send;
}
