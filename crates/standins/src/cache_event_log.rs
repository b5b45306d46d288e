//! Late and incomplete log of cache events.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::{CacheEvent, CacheEventKind};

const MAX_STORED_EVENTS: usize = 65_536;
const MAX_EVENTS_PER_RESPONSE: usize = 1024;

/// Holds events until they are old enough to be read, and loses some of them.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    delay: Duration,
    gap_every: u64,
    last_sequence: u64,
    events: VecDeque<(Instant, Option<CacheEvent>, u64)>,
}

impl CacheEventLog {
    pub(crate) fn new(delay: Duration, gap_every: u64) -> Self {
        Self {
            delay,
            gap_every,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, now: Instant, kind: CacheEventKind, prefix: &str) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let lost = self.gap_every > 0 && sequence.is_multiple_of(self.gap_every);
        let event = (!lost).then(|| CacheEvent {
            sequence,
            kind,
            prefix: prefix.to_owned(),
        });
        if self.events.len() == MAX_STORED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, event, sequence));
    }

    /// Returns the readable events after `after` and the number to ask after next.
    ///
    /// The number also passes over lost events, so a reader sees that something is missing even if
    /// the last events are the lost ones.
    pub(crate) fn events_after(&self, now: Instant, after: u64) -> (Vec<CacheEvent>, u64) {
        let mut next = after;
        let mut events = Vec::new();
        let readable = self
            .events
            .iter()
            .take_while(|(at, ..)| *at + self.delay <= now)
            .filter(|(.., sequence)| *sequence > after)
            .take(MAX_EVENTS_PER_RESPONSE);
        for (_, event, sequence) in readable {
            next = *sequence;
            events.extend(event.clone());
        }
        (events, next)
    }
}
