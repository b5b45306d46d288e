//! Plan of a load.

use std::{net::SocketAddr, time::Duration};

use crate::{OrganisationKey, SizeRange};

/// Load to be sent; the fields are set before it runs.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of instances, tried in turn.
    pub instances: Vec<SocketAddr>,
    /// Whether the instances are asked for each organisation's list by `GET /v1/instances`.
    pub discover: bool,
    /// Backend server that gets each request as well, for a paired comparison.
    pub direct: Option<SocketAddr>,
    /// Organisations with their keys; without any, requests carry no key.
    pub organisations: Vec<OrganisationKey>,
    /// Arrivals a second, at random times.
    pub requests_per_s: f64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Most requests in flight; arrivals beyond are counted and not sent.
    pub concurrency: usize,
    /// Share of the requests that are streamed, from 0 to 1.
    pub streamed: f64,
    /// Share of the requests with the priority `batch`, from 0 to 1.
    pub batch: f64,
    /// Tokens of the prompts.
    pub prompt_tokens: SizeRange,
    /// Tokens of the answers.
    pub output_tokens: SizeRange,
    /// Model.
    pub model: String,
    /// Longest time of a request.
    pub timeout: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            instances: Vec::new(),
            discover: false,
            direct: None,
            organisations: Vec::new(),
            requests_per_s: 20.0,
            duration: Duration::from_secs(10),
            concurrency: 256,
            streamed: 0.5,
            batch: 0.0,
            prompt_tokens: SizeRange(64..=512),
            output_tokens: SizeRange(8..=64),
            model: "ledger-7b".to_owned(),
            timeout: Duration::from_secs(60),
            seed: 1,
        }
    }
}
