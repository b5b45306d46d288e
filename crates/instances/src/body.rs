//! Content of an envelope.

use crate::{
    BundleContent, BundleDelta, BundleFetch, CapacityGrant, CapacityRequest, Digest, Forward,
    ForwardCancel, ForwardCredit, ForwardData, ForwardEnd, ForwardHead, ForwardRefused, Hello,
    LoanGrant, LoanRequest, Ping, Pong, Status, ViewRequest, ViewUpdate,
};

/// Message inside an [`crate::Envelope`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// [`Hello`].
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// [`Ping`].
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// [`Pong`].
    #[prost(message, tag = "5")]
    Pong(Pong),
    /// [`Digest`].
    #[prost(message, tag = "6")]
    Digest(Digest),
    /// [`BundleDelta`].
    #[prost(message, tag = "7")]
    BundleDelta(BundleDelta),
    /// [`BundleFetch`].
    #[prost(message, tag = "8")]
    BundleFetch(BundleFetch),
    /// [`BundleContent`].
    #[prost(message, tag = "9")]
    BundleContent(BundleContent),
    /// [`LoanRequest`].
    #[prost(message, tag = "10")]
    LoanRequest(LoanRequest),
    /// [`LoanGrant`].
    #[prost(message, tag = "11")]
    LoanGrant(LoanGrant),
    /// [`Forward`].
    #[prost(message, tag = "12")]
    Forward(Forward),
    /// [`ForwardHead`].
    #[prost(message, tag = "13")]
    ForwardHead(ForwardHead),
    /// [`ForwardData`].
    #[prost(message, tag = "14")]
    ForwardData(ForwardData),
    /// [`ForwardEnd`].
    #[prost(message, tag = "15")]
    ForwardEnd(ForwardEnd),
    /// [`ForwardRefused`].
    #[prost(message, tag = "16")]
    ForwardRefused(ForwardRefused),
    /// [`ForwardCancel`].
    #[prost(message, tag = "17")]
    ForwardCancel(ForwardCancel),
    /// [`CapacityRequest`].
    #[prost(message, tag = "18")]
    CapacityRequest(CapacityRequest),
    /// [`CapacityGrant`].
    #[prost(message, tag = "19")]
    CapacityGrant(CapacityGrant),
    /// [`ForwardCredit`].
    #[prost(message, tag = "20")]
    ForwardCredit(ForwardCredit),
    /// State and load of an instance and its region.
    #[prost(message, tag = "21")]
    Status(Status),
    /// Question for a newer view of the store.
    #[prost(message, tag = "22")]
    ViewRequest(ViewRequest),
    /// Newer view of the store.
    #[prost(message, tag = "23")]
    ViewUpdate(ViewUpdate),
}

impl Body {
    /// Returns whether the message belongs to a forwarded request.
    pub const fn is_forwarded(&self) -> bool {
        matches!(
            self,
            Self::Forward(_)
                | Self::ForwardHead(_)
                | Self::ForwardData(_)
                | Self::ForwardEnd(_)
                | Self::ForwardRefused(_)
                | Self::ForwardCancel(_)
                | Self::ForwardCredit(_)
        )
    }
}
