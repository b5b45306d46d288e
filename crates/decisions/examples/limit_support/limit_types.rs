//! Types and constants of the simulation; times are in microseconds.

use std::{cmp::Reverse, collections::BinaryHeap};

use hawthornquay_decisions::{
    Bundle, DomainName, InstanceId, LimitBucket, LimitReservation, LimitTable, LoanGrant,
    LoanRequest, Map, OrganisationId, SlotSnapshot, StoreRevision,
};
use rand::rngs::StdRng;

pub(crate) const REGIONS: usize = 3;
/// Requests that arrive before this time are not counted.
pub(crate) const WARM_UP_END_US: u64 = 15_000_000;
pub(crate) const FAULT_START_US: u64 = 25_000_000;
pub(crate) const FAULT_END_US: u64 = 45_000_000;
pub(crate) const END_US: u64 = 60_000_000;
pub(crate) const TICK_US: u64 = 100_000;
/// Interval between updates of the slots, a multiple of [`TICK_US`].
pub(crate) const SLOT_UPDATE_INTERVAL_US: u64 = 500_000;
/// Delay of the platform's instance list.
pub(crate) const LIST_LAG_US: u64 = 1_000_000;
pub(crate) const MESSAGE_LOSS_PERCENT: u32 = 1;
pub(crate) const MAX_STORE_WRITES_PER_S: u64 = 400;
/// Time after its arrival from which a request is refused instead of waiting for a loan.
pub(crate) const ADMISSION_TIMEOUT_US: u64 = 1_000_000;

/// Way in which the instances enforce the limits.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scheme {
    /// Token buckets whose shares the instances lend to each other.
    Loans,
    /// Baseline: an equal share of each limit at every instance, without loans.
    StaticSplit,
    /// Baseline: one bucket per organisation in the store, limited by the store's write rate.
    StoreBucket,
}

/// Fault during the simulation; organisations send unequal traffic in every scenario.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scenario {
    /// No fault.
    Skewed,
    /// Domain 0 is partitioned from the other domains and the store during the fault.
    CutOffDomain,
    /// Instance 0 fails at the start of the fault and is replaced by a new one.
    InstanceLoss,
}

/// Size of the simulated fleet and its traffic.
#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) instances: usize,
    pub(crate) domains: usize,
    pub(crate) organisations: usize,
    pub(crate) requests_per_s: f64,
}

/// Request of the generated traffic.
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) organisation: usize,
    pub(crate) domain: usize,
    /// Random number that determines the instance.
    pub(crate) random_choice: usize,
    /// Tokens that are reserved.
    pub(crate) tokens: u64,
    /// Tokens that the request uses; the rest is refunded.
    pub(crate) used: u64,
    pub(crate) duration_us: u64,
}

/// Event of the simulation.
pub(crate) enum Event {
    /// Arrival of the request with this index.
    Arrive(usize),
    /// Repeated attempt to admit a waiting request; indices of arrival and instance.
    Retry(usize, usize),
    /// End of an admitted request.
    Settle(Reservation),
    /// Delivery of a loan request; indices of sender and receiver.
    LoanRequest(usize, usize, LoanRequest),
    /// Delivery of a loan grant; indices of sender and receiver.
    LoanGrant(usize, usize, LoanGrant),
    /// Periodic tasks; number of the tick.
    Tick(u64),
}

/// Tokens reserved for a running request.
pub(crate) enum Reservation {
    /// Reservation in a limit table; indices of instance, arrival and, last, admission.
    Loaned(usize, usize, LimitReservation, usize),
    /// Reservation in a baseline bucket: indices of bucket and arrival, number of the reservation,
    /// index of the admission.
    Bucket(usize, usize, u64, usize),
}

/// Admitted request.
pub(crate) struct Admission {
    pub(crate) at: u64,
    pub(crate) organisation: usize,
    /// Net charge in nanotokens, after the refund.
    pub(crate) amount: u64,
}

/// Number of loan messages by cause and result.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoanCounters {
    /// Loan requests on behalf of organisations that send less than their rate.
    pub(crate) requests_for_steady: u64,
    /// Loan requests on behalf of organisations that send twice their rate.
    pub(crate) requests_for_overloaded: u64,
    /// Loan requests that renew loans in use.
    pub(crate) renewals: u64,
    /// Grants without a share of the limit.
    pub(crate) empty_grants: u64,
    /// Grants of less than half of the requested amount.
    pub(crate) partial_grants: u64,
    /// Grants of at least half of the requested amount.
    pub(crate) full_grants: u64,
    /// Loan requests to the sender's domain, to its region, and to other regions.
    pub(crate) distance: [u64; 3],
}

/// Counts of requests after the warm-up, and of loan messages.
#[derive(Default)]
pub(crate) struct Counters {
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    /// Refusals of requests for which one bucket for the whole fleet would have had the tokens.
    pub(crate) wrongly_refused: u64,
    /// Admitted requests that had to wait for a loan.
    pub(crate) waited: u64,
    /// Those of `wrongly_refused` whose organisation sends less than its rate.
    pub(crate) wrongly_refused_of_steady: u64,
    /// Requests of organisations that send less than their rate.
    pub(crate) requests_of_steady: u64,
    pub(crate) loans: LoanCounters,
}

/// Simulated instance.
pub(crate) struct Instance {
    pub(crate) table: LimitTable,
    pub(crate) id: InstanceId,
    pub(crate) domain: usize,
    pub(crate) alive: bool,
    /// Revision of the slots that the table uses.
    pub(crate) revision: StoreRevision,
    /// Indices of the arrivals that wait for a loan.
    pub(crate) waiting: Vec<usize>,
    /// Number of loan messages sent.
    pub(crate) messages: u64,
}

/// State of one simulation.
pub(crate) struct Run {
    pub(crate) scheme: Scheme,
    pub(crate) scenario: Scenario,
    pub(crate) bundle: Bundle,
    pub(crate) organisations: Vec<OrganisationId>,
    /// For each organisation, whether it sends less than its rate.
    pub(crate) steady: Vec<bool>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) by_id: Map<InstanceId, usize>,
    /// Buckets of the baseline schemes.
    pub(crate) buckets: Vec<LimitBucket>,
    /// For each organisation, one bucket for the whole fleet that every admission is charged to.
    pub(crate) ideal_buckets: Vec<LimitBucket>,
    pub(crate) admissions: Vec<Admission>,
    /// Time and number of the scheduled events.
    pub(crate) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) event_bodies: Map<u64, Event>,
    pub(crate) last_event_number: u64,
    pub(crate) slots: SlotSnapshot,
    /// Current second, and the writes to the store in it.
    pub(crate) store_writes: (u64, u64),
    /// Index of the failed instance, and time of the failure.
    pub(crate) lost_instance: Option<(usize, u64)>,
    pub(crate) counters: Counters,
    pub(crate) random: StdRng,
    pub(crate) now: u64,
}

pub(crate) fn domain_name(index: usize) -> DomainName {
    DomainName::from(format!("d{index:02}"))
}

pub(crate) fn region_of(domain: usize) -> usize {
    domain % REGIONS
}
