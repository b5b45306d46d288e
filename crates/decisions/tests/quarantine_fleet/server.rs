//! Backend servers of a simulated fleet, and their requests.

use std::collections::BTreeMap;

use hawthornquay_decisions::PartId;

/// Request to the fleet.
#[derive(Clone, Debug)]
pub struct Request {
    pub parts: Vec<PartId>,
    pub crashing: bool,
    pub arrived: u64,
    pub attempts: usize,
    pub tried: Vec<usize>,
    pub instance: usize,
    /// Whether it may be sent to one server only, as a part of it is quarantined.
    pub is_trial: bool,
}

/// Backend server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub region: usize,
    pub starts: usize,
    pub is_up: bool,
    pub is_leaving: bool,
    pub free_at: u64,
    /// Requests without an answer and those whose answer runs, with the time at which it began.
    pub waiting: BTreeMap<u64, Request>,
    pub running: BTreeMap<u64, (u64, Request)>,
}
