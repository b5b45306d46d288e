//! One-way messages.

use crate::{Body, BundleDelta, Digest, Status, ViewRequest, ViewUpdate};

/// One-way message: the receiver sends no reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Gossip about members.
    Digest(Digest),
    /// Announcement of a bundle version by an instance that watches the store.
    BundleDelta(BundleDelta),
    /// State and load of the sender; the leader of a region adds the load of regions.
    Status(Status),
    /// Request for a newer view of the store.
    ViewRequest(ViewRequest),
    /// Newer parts of the view of the store.
    ViewUpdate(ViewUpdate),
}

impl From<Notice> for Body {
    fn from(notice: Notice) -> Self {
        match notice {
            Notice::Digest(digest) => Self::Digest(digest),
            Notice::BundleDelta(delta) => Self::BundleDelta(delta),
            Notice::Status(status) => Self::Status(status),
            Notice::ViewRequest(request) => Self::ViewRequest(request),
            Notice::ViewUpdate(update) => Self::ViewUpdate(update),
        }
    }
}
