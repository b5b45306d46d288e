//! Key-value store with revisions and leases.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use serde_json::Value;
use tokio::time::Instant;

use crate::{kv_entry::KvEntry, kv_lease::KvLease, kv_write_error::KvWriteError};

/// Sorted keys, the latest change of each key, and leases.
///
/// A deleted key is kept as a tombstone without a time limit, so that a watch from any earlier
/// revision returns the deletion.
#[derive(Clone, Debug, Default)]
pub(crate) struct KvStore {
    entries: BTreeMap<String, KvEntry>,
    /// Key by the revision of its latest change.
    last_changes: BTreeMap<u64, String>,
    leases: BTreeMap<u64, KvLease>,
    last_lease: u64,
    revision: u64,
}

impl KvStore {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn key_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.value.is_some())
            .count()
    }

    pub(crate) fn lease_count(&self) -> usize {
        self.leases.len()
    }

    pub(crate) fn get(&self, key: &str) -> Option<&KvEntry> {
        self.entries.get(key).filter(|entry| entry.value.is_some())
    }

    /// Writes `value` if the key is at revision `expect`, where 0 means that the key is absent.
    ///
    /// Returns the new revision.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, KvWriteError> {
        self.check_revision(key, expect)?;
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(KvWriteError::LeaseEnded);
        }
        Ok(self.write_entry(key, Some(value), lease))
    }

    /// Deletes the key if it is at revision `expect`.
    ///
    /// Returns the revision of the deletion, or `None` if the key is absent.
    pub(crate) fn delete(
        &mut self,
        key: &str,
        expect: Option<u64>,
    ) -> Result<Option<u64>, KvWriteError> {
        self.check_revision(key, expect)?;
        let present = self.get(key).is_some();
        Ok(present.then(|| self.write_entry(key, None, None)))
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<Value> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| entry.to_json(key))
            .collect()
    }

    /// Returns the keys with `prefix` that changed after revision `after`, oldest change first.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        self.last_changes
            .range(after.saturating_add(1)..)
            .filter(|(_, key)| key.starts_with(prefix))
            .map(|(_, key)| self.entries[key].to_json(key))
            .collect()
    }

    pub(crate) fn grant_lease(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let lease = KvLease {
            ttl,
            expires_at: now + ttl,
            keys: Default::default(),
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; returns its time to live, or `None` if it has ended.
    pub(crate) fn renew_lease(&mut self, now: Instant, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; returns false if it had already ended.
    pub(crate) fn end_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        for key in lease.keys {
            self.write_entry(&key, None, None);
        }
        true
    }

    /// Ends the leases that have expired.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let has_expired = |lease: &KvLease| lease.expires_at <= now;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| has_expired(lease))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    fn check_revision(&self, key: &str, expect: Option<u64>) -> Result<(), KvWriteError> {
        let current = self.get(key);
        let revision = current.map_or(0, |entry| entry.revision);
        if expect.is_none_or(|expect| expect == revision) {
            return Ok(());
        }
        let current = current.map_or(Value::Null, |entry| entry.to_json(key));
        Err(KvWriteError::Conflict(current))
    }

    fn write_entry(&mut self, key: &str, value: Option<Bytes>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let entry = KvEntry {
            value,
            revision: self.revision,
            lease,
        };
        if let Some(previous) = self.entries.insert(key.to_owned(), entry) {
            self.last_changes.remove(&previous.revision);
            let previous = previous.lease.and_then(|id| self.leases.get_mut(&id));
            previous.map(|lease| lease.keys.remove(key));
        }
        self.last_changes.insert(self.revision, key.to_owned());
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        self.revision
    }
}
