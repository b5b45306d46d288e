//! Idempotency keys issued by this process.

use std::{collections::VecDeque, time::Duration};

use crate::{
    Execution, InstanceId, IssuedKey, Map, MonotonicTime, OrganisationId, Refusal, RefusalCode,
    RequestId,
};

/// Time for which an issued key and the outcome of its request are kept.
pub const ISSUED_KEY_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Largest number of keys kept for one organisation, so that none can fill the table alone.
pub const MAX_ISSUED_KEYS_PER_ORGANISATION: usize = 10_000;

/// Largest number of keys kept by one instance; limits the table to about 20 MB.
pub const MAX_ISSUED_KEYS: usize = 100_000;

#[derive(Clone, Debug)]
struct Entry {
    organisation: OrganisationId,
    expires: MonotonicTime,
    usage: Usage,
}

#[derive(Clone, Debug)]
enum Usage {
    Unused,
    Claimed {
        request: RequestId,
        fingerprint: u64,
        execution: Execution,
    },
}

/// Idempotency keys issued by this process.
///
/// No other process may run a request with one of these keys, and this process runs at most one
/// request per key.
#[derive(Debug)]
pub struct IssuedKeyTable {
    own_id: InstanceId,
    entries: Map<u64, Entry>,
    issue_order: VecDeque<u64>,
    counts: Map<OrganisationId, usize>,
}

impl IssuedKeyTable {
    /// Creates an empty table for the process `own_id`.
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            own_id,
            entries: Map::default(),
            issue_order: VecDeque::new(),
            counts: Map::default(),
        }
    }

    /// Issues a key to `organisation`; `number` is a random number.
    ///
    /// # Errors
    ///
    /// Returns a refusal if [`MAX_ISSUED_KEYS_PER_ORGANISATION`] or [`MAX_ISSUED_KEYS`] is reached,
    /// or if `number` is already in use.
    pub fn issue(
        &mut self,
        organisation: &OrganisationId,
        number: u64,
        now: MonotonicTime,
    ) -> Result<IssuedKey, Refusal> {
        self.expire(now);
        let held = self.counts.get(organisation).copied().unwrap_or_default();
        if held >= MAX_ISSUED_KEYS_PER_ORGANISATION
            || self.entries.len() >= MAX_ISSUED_KEYS
            || self.entries.contains_key(&number)
        {
            return Err(too_many_issued_keys());
        }
        let expires = now + ISSUED_KEY_LIFETIME;
        let organisation = organisation.clone();
        *self.counts.entry(organisation.clone()).or_default() += 1;
        self.entries.insert(
            number,
            Entry {
                organisation,
                expires,
                usage: Usage::Unused,
            },
        );
        self.issue_order.push_back(number);
        Ok(IssuedKey {
            issuer: self.own_id.clone(),
            number,
        })
    }

    /// Claims a key for a request, which may then run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if another process issued the key, or if the key is unknown, expired,
    /// issued to another organisation, or already claimed.
    pub fn claim(
        &mut self,
        key: &IssuedKey,
        organisation: &OrganisationId,
        request: &RequestId,
        fingerprint: u64,
        now: MonotonicTime,
    ) -> Result<(), Refusal> {
        if key.issuer != self.own_id {
            return Err(issued_elsewhere(&key.issuer));
        }
        self.expire(now);
        let entry = self
            .entries
            .get_mut(&key.number)
            .filter(|entry| entry.organisation == *organisation)
            .ok_or_else(unknown_key)?;
        if let Usage::Claimed {
            request,
            fingerprint: claimed,
            execution,
        } = &entry.usage
        {
            return Err(refuse_claimed(request, *claimed == fingerprint, *execution));
        }
        entry.usage = Usage::Claimed {
            request: request.clone(),
            fingerprint,
            execution: Execution::Unknown,
        };
        Ok(())
    }

    /// Records the outcome of the request that claimed the key.
    ///
    /// A request that was not run releases the key, so that another request may claim it.
    pub fn record_outcome(&mut self, key: &IssuedKey, outcome: Execution) {
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return;
        };
        match (&mut entry.usage, outcome) {
            (usage, Execution::NotRun) => *usage = Usage::Unused,
            (Usage::Claimed { execution, .. }, _) => *execution = outcome,
            (Usage::Unused, _) => {}
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the expired keys; keys expire in the order in which they were issued.
    fn expire(&mut self, now: MonotonicTime) {
        while let Some(number) = self.issue_order.front() {
            if self
                .entries
                .get(number)
                .is_some_and(|entry| entry.expires > now)
            {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(number) = self.issue_order.pop_front() else {
            return;
        };
        let Some(entry) = self.entries.remove(&number) else {
            return;
        };
        let Some(count) = self.counts.get_mut(&entry.organisation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&entry.organisation);
        }
    }
}

fn too_many_issued_keys() -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "too many unexpired idempotency keys; use one that was already issued, or request one from \
         another instance",
    )
}

// An earlier attempt may have run at the issuer, so neither this refusal nor that of
// `unknown_key` may report `not-run`.
fn issued_elsewhere(issuer: &InstanceId) -> Refusal {
    Refusal::unknown(
        RefusalCode::IssuerGone,
        &format!(
            "the idempotency key was issued by instance {}, which alone can run the request; send \
             the request there; if that process has ended, it is unknown whether an earlier \
             attempt ran",
            issuer.name
        ),
    )
}

fn unknown_key() -> Refusal {
    Refusal::unknown(
        RefusalCode::IssuerGone,
        "this instance has no record of the idempotency key, which may have expired; it is unknown \
         whether an earlier attempt ran",
    )
}

fn refuse_claimed(request: &RequestId, same_request: bool, execution: Execution) -> Refusal {
    if !same_request {
        return Refusal::not_run(
            RefusalCode::ClaimConflict,
            "the idempotency key was already used for a different request; use a new key",
        );
    }
    Refusal {
        code: RefusalCode::AlreadyClaimed,
        execution,
        message: format!(
            "the idempotency key belongs to request {request}; see GET /v1/requests/{request}"
        ),
        retry_after: None,
    }
}
