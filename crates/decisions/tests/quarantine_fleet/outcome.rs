//! What was seen in a simulated fleet.

use std::collections::BTreeMap;

use hawthornquay_decisions::PartId;

/// What was seen in a simulated fleet; times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times at which each crashing part crashed a server.
    pub crashes: BTreeMap<PartId, Vec<u64>>,
    /// Times at which requests with each crashing part reached a server.
    pub crashing_sent: BTreeMap<PartId, Vec<u64>>,
    /// Healthy parts that some instance quarantined, with the time of the first.
    pub healthy_quarantined: BTreeMap<PartId, u64>,
    /// Crashing parts that some instance quarantined, with the time of the first.
    pub crashing_quarantined: BTreeMap<PartId, u64>,
    /// Crashing parts that some instance released before the quarantine expired.
    pub crashing_released: usize,
    /// Times at which healthy requests were begun to be answered at their first attempt.
    pub healthy_begun: Vec<u64>,
    /// Times at which healthy requests arrived.
    pub healthy_arrived: Vec<u64>,
    /// As above, for those of the caller whose requests may pause.
    pub caller_begun: Vec<u64>,
    /// Times at which healthy requests of that caller arrived.
    pub caller_arrived: Vec<u64>,
    /// Crashes and starts in all updates from 10 s after the last crash on.
    pub late_entries: usize,
}

impl Outcome {
    /// Returns the greatest number of requests with one crashing part that reached servers over 5 s
    /// after its fifth crash.
    pub fn crashing_late(&self) -> usize {
        let late = |(part, crashes): (&PartId, &Vec<u64>)| {
            let fifth = *crashes.get(4)?;
            let sent = self.crashing_sent[part].iter();
            Some(sent.filter(|&&at| at > fifth + 5_000).count())
        };
        self.crashes.iter().filter_map(late).max().unwrap_or(0)
    }

    /// Returns the share of the healthy requests from `from` on that began at their first attempt.
    pub fn healthy_share(&self, from: u64) -> f64 {
        share(&self.healthy_begun, &self.healthy_arrived, from)
    }

    /// As above, of those of the caller whose requests may pause.
    pub fn caller_share(&self, from: u64) -> f64 {
        share(&self.caller_begun, &self.caller_arrived, from)
    }
}

fn share(begun: &[u64], arrived: &[u64], from: u64) -> f64 {
    let count = |times: &[u64]| times.iter().filter(|&&at| at >= from).count() as f64;
    count(begun) / count(arrived).max(1.0)
}
