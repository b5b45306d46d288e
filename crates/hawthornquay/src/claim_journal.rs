//! Recent claims of this process, which are written back if the store loses them.

use std::{collections::VecDeque, time::Duration};

use hawthornquay_decisions::{ClaimRecord, Map, MonotonicTime};
use hawthornquay_store::StoreRevision;

/// Time for which a claim is kept; the store comes back from copies that are some seconds old.
const RETENTION: Duration = Duration::from_secs(120);

/// Largest number of claims kept; the oldest are dropped first.
const MAX_CLAIMS: usize = 20_000;

/// Claim as the store last confirmed it, or as its outcome has changed it since.
#[derive(Clone, Debug)]
struct JournalEntry {
    record: ClaimRecord,
    revision: StoreRevision,
    recorded_at: MonotonicTime,
}

/// Claims that the store confirmed to this process within the last minutes.
#[derive(Debug, Default)]
pub struct ClaimJournal {
    entries: Map<String, JournalEntry>,
    /// Keys in the order in which they were recorded; an entry recorded again occurs twice.
    order: VecDeque<(MonotonicTime, String)>,
}

impl ClaimJournal {
    /// Records a claim under the key of its entry in the store, at the revision of that entry.
    pub fn record(
        &mut self,
        key: &str,
        record: ClaimRecord,
        revision: StoreRevision,
        now: MonotonicTime,
    ) {
        let entry = JournalEntry {
            record,
            revision,
            recorded_at: now,
        };
        self.entries.insert(key.to_owned(), entry);
        self.order.push_back((now, key.to_owned()));
        self.expire(now);
    }

    /// Records the revision at which the store now has a claim, if `token` still holds it.
    pub fn record_revision(&mut self, key: &str, token: u64, revision: StoreRevision) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.record.token == token
        {
            entry.revision = revision;
        }
    }

    /// Returns the revision at which the store has the claim of `token`.
    pub fn revision(&self, key: &str, token: u64) -> Option<StoreRevision> {
        let entry = self.entries.get(key)?;
        (entry.record.token == token).then_some(entry.revision)
    }

    /// Removes a claim that another process holds by now.
    pub fn remove(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Returns the claims that the store confirmed before `era`, with the keys of their entries.
    pub fn confirmed_before(&self, era: u64) -> Vec<(String, ClaimRecord)> {
        let lost = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision.era < era);
        lost.map(|(key, entry)| (key.clone(), entry.record.clone()))
            .collect()
    }

    fn expire(&mut self, now: MonotonicTime) {
        while let Some((at, key)) = self.order.front() {
            if now.since(*at) < RETENTION && self.order.len() <= MAX_CLAIMS {
                return;
            }
            if self
                .entries
                .get(key)
                .is_some_and(|entry| entry.recorded_at == *at)
            {
                self.entries.remove(key);
            }
            self.order.pop_front();
        }
    }
}
