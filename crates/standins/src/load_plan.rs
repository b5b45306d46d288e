//! Parameters of a load run.

use std::{net::SocketAddr, time::Duration};

use crate::{OrganisationKey, SizeRange};

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of instances, used in round-robin order.
    pub instances: Vec<SocketAddr>,
    /// Whether the address list of each organisation is fetched with `GET /v1/instances`.
    pub discover: bool,
    /// Backend server that each request is also sent to directly, for a paired comparison.
    pub direct: Option<SocketAddr>,
    /// Organisations with their API keys; if empty, requests are sent without a key.
    pub organisations: Vec<OrganisationKey>,
    /// Mean arrival rate of the Poisson process, in requests per second.
    pub requests_per_s: f64,
    /// Time during which new requests are sent.
    pub duration: Duration,
    /// Maximum number of requests in flight; further arrivals are counted and not sent.
    pub max_in_flight: usize,
    /// Share of requests whose answer is streamed, from 0 to 1.
    pub streamed_share: f64,
    /// Share of requests with priority `batch`, from 0 to 1.
    pub batch_share: f64,
    /// Range of the number of prompt tokens.
    pub prompt_tokens: SizeRange,
    /// Range of the number of generated tokens.
    pub output_tokens: SizeRange,
    /// Name of the model.
    pub model: String,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Seed of the random number generator.
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
            max_in_flight: 256,
            streamed_share: 0.5,
            batch_share: 0.0,
            prompt_tokens: SizeRange(64..=512),
            output_tokens: SizeRange(8..=64),
            model: "ledger-7b".to_owned(),
            timeout: Duration::from_secs(60),
            seed: 1,
        }
    }
}
