//! Message types of an envelope.

use crate::{
    BundleContent, BundleDelta, BundleFetch, CapacityGrant, CapacityRequest, Digest, Forward,
    ForwardBody, ForwardCancel, ForwardCredit, ForwardData, ForwardEnd, ForwardHead,
    ForwardRefused, Hello, LinkDrained, LoanGrant, LoanRequest, PermitGrant, PermitRequest, Ping,
    Pong, Status, ViewRequest, ViewUpdate,
};

/// Message carried by an [`Envelope`](crate::Envelope).
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Identity of the sender.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Heartbeat.
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// Reply to a heartbeat.
    #[prost(message, tag = "5")]
    Pong(Pong),
    /// Gossip about members.
    #[prost(message, tag = "6")]
    Digest(Digest),
    /// Announcement of a bundle version.
    #[prost(message, tag = "7")]
    BundleDelta(BundleDelta),
    /// Request for a part of a bundle.
    #[prost(message, tag = "8")]
    BundleFetch(BundleFetch),
    /// Part of a bundle.
    #[prost(message, tag = "9")]
    BundleContent(BundleContent),
    /// Request to borrow a part of an organisation's limit.
    #[prost(message, tag = "10")]
    LoanRequest(LoanRequest),
    /// Reply to a loan request.
    #[prost(message, tag = "11")]
    LoanGrant(LoanGrant),
    /// Request forwarded to another instance.
    #[prost(message, tag = "12")]
    Forward(Forward),
    /// Start of the response to a forwarded request.
    #[prost(message, tag = "13")]
    ForwardHead(ForwardHead),
    /// Part of the response body.
    #[prost(message, tag = "14")]
    ForwardData(ForwardData),
    /// End of a complete response.
    #[prost(message, tag = "15")]
    ForwardEnd(ForwardEnd),
    /// Refusal or failure of a forwarded request.
    #[prost(message, tag = "16")]
    ForwardRefused(ForwardRefused),
    /// Cancellation of a forwarded request.
    #[prost(message, tag = "17")]
    ForwardCancel(ForwardCancel),
    /// Request for the load of a failure domain and permission to send requests there.
    #[prost(message, tag = "18")]
    CapacityRequest(CapacityRequest),
    /// Reply to a capacity request.
    #[prost(message, tag = "19")]
    CapacityGrant(CapacityGrant),
    /// Flow-control credit for a response.
    #[prost(message, tag = "20")]
    ForwardCredit(ForwardCredit),
    /// State and load of an instance, and of its region.
    #[prost(message, tag = "21")]
    Status(Status),
    /// Request for a newer view of the store.
    #[prost(message, tag = "22")]
    ViewRequest(ViewRequest),
    /// Newer parts of the view of the store.
    #[prost(message, tag = "23")]
    ViewUpdate(ViewUpdate),
    /// Part of the body of a forwarded request.
    #[prost(message, tag = "24")]
    ForwardBody(ForwardBody),
    /// Last message of a drained link.
    #[prost(message, tag = "25")]
    LinkDrained(LinkDrained),
    /// Request for a permit to send to a limited backend server.
    #[prost(message, tag = "26")]
    PermitRequest(PermitRequest),
    /// Reply to a request for a permit.
    #[prost(message, tag = "27")]
    PermitGrant(PermitGrant),
}

impl Body {
    /// Returns whether the message belongs to a forwarded request or its response.
    pub const fn is_forwarded(&self) -> bool {
        matches!(
            self,
            Self::Forward(_)
                | Self::ForwardBody(_)
                | Self::ForwardHead(_)
                | Self::ForwardData(_)
                | Self::ForwardEnd(_)
                | Self::ForwardRefused(_)
                | Self::ForwardCancel(_)
                | Self::ForwardCredit(_)
        )
    }
}
