//! Promises of capacity as they are reported to other instances.

use std::time::Duration;

use crate::ReturnKey;

/// Promise as it is reported to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedPromise {
    /// Identity of the request.
    pub key: ReturnKey,
    /// Prompt tokens of the request.
    pub tokens: u64,
    /// Priority of the request; zero is the most urgent.
    pub urgency: u8,
    /// Time until the promise ends.
    pub ends_in: Duration,
}

/// Promises and redeemed keys that an instance reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromiseReport {
    /// Promises that are not redeemed.
    pub open: Vec<ReportedPromise>,
    /// Hashes of the keys of redeemed promises that have not ended.
    pub redeemed: Vec<u64>,
}

/// Which promises a report includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseScope {
    /// Those that this instance has made or redeemed.
    Own,
    /// All that this instance knows.
    Region,
}
