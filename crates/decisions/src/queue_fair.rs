//! Queue that shares overloaded backend servers fairly between organisations.

use std::time::Duration;

use crate::{
    MonotonicTime, OrganisationId, Priority, QueueEntry, Refusal, RefusalCode,
    queue_class::QueueClass,
};

/// Upper bound of the waiting requests of one organisation; bounds memory and the wait of the last
/// of them.
const MAX_WAITING_PER_ORGANISATION: usize = 256;
/// A batch request may overtake interactive requests once it has waited for the maximum wait
/// divided by this.
const BATCH_OVERDUE_DIVISOR: u32 = 2;
/// Of this many requests taken from the queue, at most one is a batch request that overtakes.
const BATCH_TURN_INTERVAL: u32 = 4;

/// Requests that wait because all backend servers are full.
///
/// An instance has one queue per target, so that requests for an overloaded model do not delay
/// those for another.
///
/// Interactive requests are served first. While a batch request has waited for at least half of the
/// maximum wait, every fourth turn goes to a batch request, so that an organisation that sends only
/// batch requests is not starved.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    interactive: QueueClass<T>,
    batch: QueueClass<T>,
    max_wait: Duration,
    turns: u32,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue whose requests wait for at most `max_wait`.
    pub fn new(max_wait: Duration) -> Self {
        Self {
            interactive: QueueClass::new(),
            batch: QueueClass::new(),
            max_wait,
            turns: 0,
        }
    }

    /// Adds a request; `weight` is the share of its organisation relative to other organisations.
    ///
    /// # Errors
    ///
    /// Returns a refusal and the item of the entry if too many requests of the organisation wait.
    pub fn push(&mut self, entry: QueueEntry<T>, weight: f64) -> Result<(), (Refusal, T)> {
        if self.waiting_of(&entry.organisation) >= MAX_WAITING_PER_ORGANISATION {
            return Err((self.refusal(), entry.item));
        }
        match entry.priority {
            Priority::Interactive => self.interactive.push(entry, weight),
            Priority::Batch => self.batch.push(entry, weight),
        }
        Ok(())
    }

    /// Removes and returns the next request, in the order of service, that `is_ready` accepts.
    ///
    /// Only the first request of each organisation is tried, because residency applies to a whole
    /// organisation. An organisation that must wait for the servers of its regions does not block
    /// other organisations.
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

    /// Removes the requests that have reached the maximum wait, and returns each with its refusal.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<(QueueEntry<T>, Refusal)> {
        let mut expired = self.interactive.expire(self.max_wait, now);
        expired.append(&mut self.batch.expire(self.max_wait, now));
        expired
            .into_iter()
            .map(|entry| (entry, self.refusal()))
            .collect()
    }

    /// Removes the first request whose item matches, for example because its caller disconnected.
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

    /// Returns the number of waiting requests of an organisation.
    pub fn waiting_of(&self, organisation: &OrganisationId) -> usize {
        self.interactive.len_of(organisation) + self.batch.len_of(organisation)
    }

    /// Returns the estimated wait of a new request, at most the maximum wait; see
    /// [`crate::RoutingSnapshot::queue_wait`].
    ///
    /// `served_per_second` is the rate at which requests are taken from the queue.
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
            .map_or(self.max_wait, |wait| wait.min(self.max_wait))
    }

    fn batch_overtakes(&self, now: MonotonicTime) -> bool {
        let overdue_after = self.max_wait / BATCH_OVERDUE_DIVISOR;
        let oldest = self.batch.oldest();
        let is_overdue = oldest.is_some_and(|since| now.since(since) >= overdue_after);
        is_overdue && self.turns % BATCH_TURN_INTERVAL == BATCH_TURN_INTERVAL - 1
    }

    fn refusal(&self) -> Refusal {
        Refusal::not_run(
            RefusalCode::NoCapacity,
            "all backend servers are busy; retry later",
        )
        .with_retry_after(self.max_wait)
    }
}
