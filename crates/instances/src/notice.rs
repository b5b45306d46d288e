//! One-way messages.

use crate::{Body, BundleDelta, Digest, Status, ViewRequest, ViewUpdate};

/// Message without a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Gossip.
    Digest(Digest),
    /// Bundle version, from a watcher of the store.
    BundleDelta(BundleDelta),
    /// State and load of the sender, and of its region if it observes the store.
    Status(Status),
    /// Question for a newer view of the store.
    ViewRequest(ViewRequest),
    /// Newer view of the store.
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
