//! Settings of a simulated fleet.

use std::ops::Range;

use hawthornquay_decisions::PartId;

use super::{fleet::Fleet, outcome::Outcome};

/// First part of the requests of the caller whose healthy requests may pause.
pub const CALLER: PartId = PartId(1);

/// Part that crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crashing {
    /// Subject that healthy requests do not have, beside any first part.
    NewSubject,
    /// Subject that was served before, beside any first part.
    KnownSubject,
    /// Subject that always follows the same first part, which healthy requests share.
    SubjectOfOneFirstPart,
    /// First part that healthy requests do not have, beside any subject.
    NewFirstPart,
    /// First part that was served before.
    KnownFirstPart,
}

/// Settings of a simulated fleet; times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub regions: usize,
    pub instances: usize,
    pub servers: usize,
    pub requests_per_s: f64,
    pub first_parts: u64,
    pub subjects: u64,
    /// Share of the requests that have a crashing part.
    pub share: f64,
    pub crashing: Vec<Crashing>,
    pub crashing_from: u64,
    /// Time from the first event of a crashing answer to the crash; `None` for a crash before it.
    pub crash_after: Option<Range<u64>>,
    pub prefill: Range<u64>,
    /// Times for which a server is down after a crash.
    pub down: Range<u64>,
    pub until: u64,
    /// Probability that an update between instances is lost.
    pub loss: f64,
    /// Greatest error of the times in an update, either way.
    pub clock_error: i64,
    /// Time in which no updates pass between regions.
    pub cut: Range<u64>,
    /// Servers that are killed, with the time of each.
    pub kills: Vec<(u64, usize)>,
    /// Servers that stop as planned, with the time of each.
    pub stops: Vec<(u64, usize)>,
    /// Instance that starts at the given time; until then, requests do not arrive there.
    pub late_instance: Option<(u64, usize)>,
    /// Time in which no healthy requests of [`CALLER`] come.
    pub pause: Range<u64>,
    /// Number of further parts that all requests of [`CALLER`] share.
    pub caller_parts: u64,
}

impl Scenario {
    /// Returns a fleet of 12 servers, with a new crashing subject in a twentieth of the requests.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            regions: 3,
            instances: 9,
            servers: 12,
            requests_per_s: 29.0,
            first_parts: 3,
            subjects: 182,
            share: 0.05,
            crashing: vec![Crashing::NewSubject],
            crashing_from: 10_000,
            crash_after: None,
            prefill: 60..240,
            down: 2_800..3_400,
            until: 45_000,
            loss: 0.02,
            clock_error: 100,
            cut: 0..0,
            kills: Vec::new(),
            stops: Vec::new(),
            late_instance: None,
            pause: 0..0,
            caller_parts: 0,
        }
    }

    /// Returns a fleet of 90 servers, with a new crashing subject in 15% of the requests.
    pub fn grown(seed: u64) -> Self {
        Self {
            instances: 60,
            servers: 90,
            requests_per_s: 187.0,
            first_parts: 8,
            share: 0.15,
            prefill: 100..500,
            ..Self::new(seed)
        }
    }

    /// Removes the crashing part.
    pub fn healthy(mut self) -> Self {
        self.crashing.clear();
        self.share = 0.0;
        self
    }

    /// Sets the crashing parts.
    pub fn crashing(mut self, crashing: &[Crashing]) -> Self {
        self.crashing = crashing.to_vec();
        self
    }

    /// Returns the crashing part number `index`.
    pub fn crashing_part(&self, index: usize) -> PartId {
        let number = index as u64;
        match self.crashing[index] {
            Crashing::NewSubject | Crashing::SubjectOfOneFirstPart => PartId(900_000 + number),
            Crashing::KnownSubject => PartId(1_000 + 7 + number),
            Crashing::NewFirstPart => PartId(800_000 + number),
            Crashing::KnownFirstPart => PartId(1 + number),
        }
    }

    /// Plays the scenario.
    pub fn play(self) -> Outcome {
        Fleet::new(self).play()
    }
}
