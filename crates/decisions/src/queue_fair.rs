//! Queue in which organisations share an overloaded pool.

use std::time::Duration;

use crate::{
    MonotonicTime, OrganisationId, Priority, QueueEntry, Refusal, RefusalCode,
    queue_class::QueueClass,
};

/// Most requests of one organisation that wait; bounds memory and keeps waits meaningful.
const WAITING_PER_ORGANISATION: usize = 256;
/// Part of the longest wait after which a batch request may overtake interactive ones.
const BATCH_PATIENCE_SHARE: u32 = 2;
/// Of this many requests taken, at most one is a batch request that overtakes.
const BATCH_TURN: u32 = 4;

/// Requests that wait because every server is full.
///
/// An instance keeps one queue for each target, so that a full model does not hold up another.
///
/// Interactive requests go first. A batch request that has waited for half of the longest wait
/// takes every fourth turn, so that an organisation which sends only batch is not starved.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    interactive: QueueClass<T>,
    batch: QueueClass<T>,
    longest_wait: Duration,
    turns: u32,
}

impl<T> FairQueue<T> {
    /// Builds an empty queue whose requests wait at most `longest_wait`.
    pub fn new(longest_wait: Duration) -> Self {
        Self {
            interactive: QueueClass::new(),
            batch: QueueClass::new(),
            longest_wait,
            turns: 0,
        }
    }

    /// Adds a request; `weight` is its organisation's share relative to the others'.
    ///
    /// # Errors
    ///
    /// Returns a refusal and the item if the organisation has too many requests waiting.
    pub fn push(&mut self, entry: QueueEntry<T>, weight: f64) -> Result<(), (Refusal, T)> {
        if self.waiting_of(&entry.organisation) >= WAITING_PER_ORGANISATION {
            return Err((self.refusal(), entry.item));
        }
        match entry.priority {
            Priority::Interactive => self.interactive.push(entry, weight),
            Priority::Batch => self.batch.push(entry, weight),
        }
        Ok(())
    }

    /// Takes the first request, in the order of service, that `is_ready` accepts.
    ///
    /// Only the first request of each organisation is tried: residency belongs to the
    /// organisation, so one that must wait for its home does not hold up the others.
    pub fn pop(
        &mut self,
        now: MonotonicTime,
        mut is_ready: impl FnMut(&QueueEntry<T>) -> bool,
    ) -> Option<QueueEntry<T>> {
        let is_ready = &mut is_ready;
        let popped = if self.batch_overtakes(now) {
            let batch = self.batch.pop(is_ready);
            batch.or_else(|| self.interactive.pop(is_ready))
        } else {
            let interactive = self.interactive.pop(is_ready);
            interactive.or_else(|| self.batch.pop(is_ready))
        };
        if popped.is_some() {
            self.turns = self.turns.wrapping_add(1);
        }
        popped
    }

    /// Removes the requests that have waited too long, with the refusal that each gets.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<(QueueEntry<T>, Refusal)> {
        let mut expired = self.interactive.expire(self.longest_wait, now);
        expired.append(&mut self.batch.expire(self.longest_wait, now));
        expired
            .into_iter()
            .map(|entry| (entry, self.refusal()))
            .collect()
    }

    /// Removes a request whose caller left.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<QueueEntry<T>> {
        let matches = &matches;
        self.interactive
            .remove(matches)
            .or_else(|| self.batch.remove(matches))
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Returns the number of an organisation's waiting requests.
    pub fn waiting_of(&self, organisation: &OrganisationId) -> usize {
        self.interactive.len_of(organisation) + self.batch.len_of(organisation)
    }

    /// Estimates how long a new request would wait, for [`crate::RoutingSnapshot::queue_wait`].
    ///
    /// `served_per_second` is the rate at which requests have left the queue.
    pub fn expected_wait(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
        served_per_second: f64,
    ) -> Duration {
        let ahead = match priority {
            Priority::Interactive => self.interactive.ahead_of(organisation),
            Priority::Batch => self.interactive.len() + self.batch.ahead_of(organisation),
        };
        if ahead == 0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead as f64 / served_per_second)
            .map_or(self.longest_wait, |wait| wait.min(self.longest_wait))
    }

    fn batch_overtakes(&self, now: MonotonicTime) -> bool {
        let patience = self.longest_wait / BATCH_PATIENCE_SHARE;
        let oldest = self.batch.oldest();
        let is_overdue = oldest.is_some_and(|since| now.since(since) >= patience);
        is_overdue && self.turns % BATCH_TURN == BATCH_TURN - 1
    }

    fn refusal(&self) -> Refusal {
        Refusal::not_run(
            RefusalCode::NoCapacity,
            "all backend servers are busy; retry later",
        )
        .with_retry_after(self.longest_wait)
    }
}
