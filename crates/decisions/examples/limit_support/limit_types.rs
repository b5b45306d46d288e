//! Traffic, instances and figures of a measurement.

use std::{cmp::Reverse, collections::BinaryHeap};

use hawthornquay_decisions::{
    Bundle, DomainName, InstanceId, LimitBucket, LimitReservation, LimitTable, LoanGrant,
    LoanRequest, Map, OrganisationId, SlotSnapshot,
};
use rand::rngs::StdRng;

pub(crate) const REGIONS: usize = 3;
pub(crate) const WARM_UP: u64 = 15_000_000;
pub(crate) const FAULT_FROM: u64 = 25_000_000;
pub(crate) const FAULT_UNTIL: u64 = 45_000_000;
pub(crate) const END: u64 = 60_000_000;
pub(crate) const TICK: u64 = 100_000;
pub(crate) const SLOT_TICK: u64 = 500_000;
pub(crate) const LAG: u64 = 1_000_000;
pub(crate) const LOSS_PERCENT: u32 = 1;
pub(crate) const STORE_WRITES_PER_S: u64 = 400;
pub(crate) const GIVE_UP_AFTER: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scheme {
    Limits,
    StaticSplit,
    StoreBucket,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scenario {
    Skewed,
    CutOffDomain,
    InstanceLoss,
}

#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) domains: usize,
    pub(crate) organisations: usize,
    pub(crate) requests_per_s: f64,
}

pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) organisation: usize,
    pub(crate) domain: usize,
    pub(crate) pick: usize,
    pub(crate) tokens: u64,
    pub(crate) used: u64,
    pub(crate) runs_for: u64,
}

pub(crate) enum Event {
    Arrive(usize),
    Retry(usize, usize),
    Settle(Held),
    Request(usize, usize, LoanRequest),
    Grant(usize, usize, LoanGrant),
    Tick(u64),
}

/// Tokens of a running request.
pub(crate) enum Held {
    Loaned(usize, usize, LimitReservation, usize),
    Bucket(usize, usize, u64, usize),
}

pub(crate) struct Admission {
    pub(crate) at: u64,
    pub(crate) organisation: usize,
    pub(crate) amount: u64,
}

/// Loan messages by cause.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoanFigures {
    /// Requests for a caller of an organisation within its rate.
    pub(crate) asked_by_steady: u64,
    /// Requests for a caller of an organisation that sends twice its rate.
    pub(crate) asked_by_overloaded: u64,
    /// Renewals of loans in use.
    pub(crate) renewals: u64,
    /// Answers that brought nothing.
    pub(crate) empty_grants: u64,
    /// Answers that brought less than half of the level asked for.
    pub(crate) partial_grants: u64,
    /// Answers that brought half or more.
    pub(crate) full_grants: u64,
    /// Requests to the own domain, to the own region, and to other regions.
    pub(crate) distance: [u64; 3],
}

#[derive(Default)]
pub(crate) struct Figures {
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    pub(crate) wrongly_refused: u64,
    pub(crate) waited: u64,
    pub(crate) wrongly_by_steady: u64,
    pub(crate) requests_of_steady: u64,
    pub(crate) loans: LoanFigures,
}

pub(crate) struct Instance {
    pub(crate) table: LimitTable,
    pub(crate) id: InstanceId,
    pub(crate) domain: usize,
    pub(crate) alive: bool,
    pub(crate) revision: u64,
    pub(crate) waiting: Vec<usize>,
    pub(crate) messages: u64,
}

pub(crate) struct Run {
    pub(crate) scheme: Scheme,
    pub(crate) scenario: Scenario,
    pub(crate) bundle: Bundle,
    pub(crate) organisations: Vec<OrganisationId>,
    pub(crate) steady: Vec<bool>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) by_id: Map<InstanceId, usize>,
    pub(crate) buckets: Vec<LimitBucket>,
    pub(crate) reference: Vec<LimitBucket>,
    pub(crate) admissions: Vec<Admission>,
    pub(crate) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) bodies: Map<u64, Event>,
    pub(crate) numbers: u64,
    pub(crate) store: SlotSnapshot,
    pub(crate) store_writes: (u64, u64),
    pub(crate) lost: Option<(usize, u64)>,
    pub(crate) figures: Figures,
    pub(crate) random: StdRng,
    pub(crate) now: u64,
}

pub(crate) fn domain_name(index: usize) -> DomainName {
    DomainName::from(format!("d{index:02}"))
}

pub(crate) fn region_of(domain: usize) -> usize {
    domain % REGIONS
}
