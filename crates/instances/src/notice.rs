//! One-way messages.

use crate::{Body, BundleDelta, Digest};

/// Message without a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Gossip.
    Digest(Digest),
    /// Bundle version, from a watcher of the store.
    BundleDelta(BundleDelta),
}

impl From<Notice> for Body {
    fn from(notice: Notice) -> Self {
        match notice {
            Notice::Digest(digest) => Self::Digest(digest),
            Notice::BundleDelta(delta) => Self::BundleDelta(delta),
        }
    }
}
