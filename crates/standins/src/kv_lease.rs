//! Lease of the key-value store.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;

/// Lease and the keys that are deleted when it ends.
#[derive(Clone, Debug)]
pub(crate) struct KvLease {
    pub(crate) ttl: Duration,
    pub(crate) expires_at: Instant,
    pub(crate) keys: BTreeSet<String>,
}
