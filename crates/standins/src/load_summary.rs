//! Report of a load.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{LatencyReport, LoadSecond, OrganisationReport, Quantiles};

/// Report of a load; without a comparison, its parts are empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers with the right nonce.
    pub right: u64,
    /// Answers that are not those to their requests, or not whole.
    pub wrong: u64,
    /// What is wrong with the first wrong answers.
    pub wrong_examples: Vec<String>,
    /// Answers that broke off.
    pub broken: u64,
    /// Requests that did not end in time.
    pub timed_out: u64,
    /// Requests for which no instance could be reached.
    pub unreachable: u64,
    /// Arrivals that were not sent, because too many requests were in flight.
    pub over_concurrency: u64,
    /// Refusals by status, code and execution.
    pub refusals: BTreeMap<String, u64>,
    /// Service by organisation.
    pub organisations: BTreeMap<String, OrganisationReport>,
    /// Times of right answers.
    pub times: LatencyReport,
    /// Times of right answers that the backend server gave directly.
    pub direct_times: LatencyReport,
    /// Total time through an instance less the direct one, for each pair of right answers.
    pub added_total_ms: Quantiles,
    /// Time to the first token through an instance less the direct one, for each streamed pair.
    pub added_first_token_ms: Quantiles,
    /// Course of the load.
    pub seconds: Vec<LoadSecond>,
}
