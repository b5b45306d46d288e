//! Share of a region's requests that its servers cannot take.
//!
//! Pattern: many instances before a few small servers with short queues. The instances' counts are
//! older than the time in which such a queue fills and drains, so they do not show whether a server
//! accepts a request. The share of rejected requests over the whole region does: the leader adds up
//! what its instances have seen, and all of them send that share of their requests to other regions
//! at once, before a server rejects them.

use hawthornquay_decisions::{Map, ServiceName};

use crate::Admissions;

/// Share of rejected requests up to which the servers are not overloaded.
const TOLERATED_REJECTIONS: f64 = 0.02;

/// Part of the share of rejected requests by which the accepted demand is lowered in one step. The
/// next counts still include requests sent before the step.
const CORRECTION: f64 = 0.6;

/// Decrease of the offload in a step without rejections.
const RECOVERY_STEP: f64 = 0.03;

/// Largest offload, so that rejections and their absence are still seen.
const MAX_OFFLOAD: f64 = 0.9;

/// Minimum number of requests in a step from which the share of rejected ones is computed.
const MIN_REQUESTS: u32 = 10;

/// Share of the requests to each service that a region sends to other regions.
#[derive(Clone, Debug, Default)]
pub struct Offload {
    shares: Map<ServiceName, f64>,
}

impl Offload {
    /// Adapts the shares to the admissions of one step.
    pub fn update(&mut self, admissions: &Map<ServiceName, Admissions>) {
        for service in admissions.keys() {
            self.shares.entry(service.clone()).or_default();
        }
        for (service, share) in &mut self.shares {
            let Admissions { accepted, rejected } =
                admissions.get(service).copied().unwrap_or_default();
            let requests = accepted + rejected;
            let rejections = f64::from(rejected) / f64::from(requests.max(1));
            *share = if requests >= MIN_REQUESTS && rejections > TOLERATED_REJECTIONS {
                (1.0 - (1.0 - *share) * (1.0 - CORRECTION * rejections)).min(MAX_OFFLOAD)
            } else {
                (*share - RECOVERY_STEP).max(0.0)
            };
        }
    }

    /// Returns the share of the requests to a service that are to be sent to other regions, from 0
    /// to 1.
    pub fn share(&self, service: &ServiceName) -> f64 {
        self.shares.get(service).copied().unwrap_or(0.0)
    }
}
