//! Log of cache events with a configurable delay and losses.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::{CacheEvent, CacheEventKind};

const MAX_STORED_EVENTS: usize = 65_536;
const MAX_EVENTS_PER_RESPONSE: usize = 1024;

/// Log whose events can be read only after a delay, and of which every n-th event is lost.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    delay: Duration,
    /// Every event whose sequence number is a multiple of this is lost; 0 disables losses.
    loss_interval: u64,
    last_sequence: u64,
    /// Time, event and sequence number; the event is `None` if it was lost.
    events: VecDeque<(Instant, Option<CacheEvent>, u64)>,
}

impl CacheEventLog {
    pub(crate) fn new(delay: Duration, loss_interval: u64) -> Self {
        Self {
            delay,
            loss_interval,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, now: Instant, kind: CacheEventKind, prefix: &str) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let lost = self.loss_interval > 0 && sequence.is_multiple_of(self.loss_interval);
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

    /// Returns the readable events with a sequence number above `after`, and the sequence number
    /// from which the next call continues.
    ///
    /// The returned number includes lost events, so that a reader notices a loss even if no event
    /// follows the lost ones.
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
