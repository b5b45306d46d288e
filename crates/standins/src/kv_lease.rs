//! Lease of the store.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;

/// Lease and the keys that end with it.
#[derive(Debug)]
pub(crate) struct KvLease {
    pub(crate) ttl: Duration,
    pub(crate) expires_at: Instant,
    pub(crate) keys: BTreeSet<String>,
}
