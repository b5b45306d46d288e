//! Summary of a load run.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{LatencyReport, LoadSecond, OrganisationReport, Quantiles};

/// Summary of a load run; the fields on direct requests are empty if none were sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Requests that were sent.
    pub sent: u64,
    /// Complete answers with the nonce of their request.
    pub right: u64,
    /// Answers that ended normally, but do not match their request; includes direct answers.
    pub wrong: u64,
    /// Differences found in the first wrong answers.
    pub wrong_examples: Vec<String>,
    /// Requests whose connection failed before or during the response.
    pub broken: u64,
    /// Requests that did not end within the timeout.
    pub timed_out: u64,
    /// Requests for which no connection to an instance could be established.
    pub unreachable: u64,
    /// Arrivals that were not sent because the limit of requests in flight was reached.
    pub over_concurrency: u64,
    /// Number of refusals by status, error code and execution state.
    pub refusals: BTreeMap<String, u64>,
    /// Results by organisation.
    pub organisations: BTreeMap<String, OrganisationReport>,
    /// Latencies of correct answers.
    pub times: LatencyReport,
    /// Latencies of correct answers to direct requests to the backend server.
    pub direct_times: LatencyReport,
    /// Total time through an instance minus the direct one, over pairs of correct answers.
    pub added_total_ms: Quantiles,
    /// Time to the first token through an instance minus the direct one, over streamed pairs.
    pub added_first_token_ms: Quantiles,
    /// Results of each second of the run.
    pub seconds: Vec<LoadSecond>,
}
