//! Idempotency keys that this process issued.

use std::{collections::VecDeque, time::Duration};

use crate::{
    Execution, InstanceId, IssuedKey, Map, MonotonicTime, OrganisationId, Refusal, RefusalCode,
    RequestId,
};

/// Time for which an issued key and its outcome are remembered.
pub const ISSUED_KEY_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Keys remembered at most for each organisation, so that one cannot exhaust the memory.
pub const MAX_ISSUED_KEYS_PER_ORGANISATION: usize = 10_000;

/// Keys remembered at most by one instance; bounds the table at about 20 MB.
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
    Taken {
        request: RequestId,
        fingerprint: u64,
        execution: Execution,
    },
}

/// Table of issued keys; only this process runs their requests, each at most once.
#[derive(Debug)]
pub struct IssuedKeyTable {
    own: InstanceId,
    entries: Map<u64, Entry>,
    order: VecDeque<u64>,
    counts: Map<OrganisationId, usize>,
}

impl IssuedKeyTable {
    /// Builds an empty table for the process `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            entries: Map::default(),
            order: VecDeque::new(),
            counts: Map::default(),
        }
    }

    /// Issues a key to `organisation`; `number` is random.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation or the instance holds too many keys.
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
            return Err(too_many_keys());
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
        self.order.push_back(number);
        Ok(IssuedKey {
            issuer: self.own.clone(),
            number,
        })
    }

    /// Takes a key for a request, which may then run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if another process issued the key, or if the key is unknown, expired,
    /// another organisation's, or taken.
    pub fn claim(
        &mut self,
        key: &IssuedKey,
        organisation: &OrganisationId,
        request: &RequestId,
        fingerprint: u64,
        now: MonotonicTime,
    ) -> Result<(), Refusal> {
        if key.issuer != self.own {
            return Err(other_issuer(&key.issuer));
        }
        self.expire(now);
        let entry = self
            .entries
            .get_mut(&key.number)
            .filter(|entry| entry.organisation == *organisation)
            .ok_or_else(unknown_key)?;
        if let Usage::Taken {
            request,
            fingerprint: taken,
            execution,
        } = &entry.usage
        {
            return Err(refuse_taken(request, *taken == fingerprint, *execution));
        }
        entry.usage = Usage::Taken {
            request: request.clone(),
            fingerprint,
            execution: Execution::Unknown,
        };
        Ok(())
    }

    /// Records how the request that took the key ended; one that was not run frees the key.
    pub fn record_outcome(&mut self, key: &IssuedKey, outcome: Execution) {
        let Some(entry) = self.entries.get_mut(&key.number) else {
            return;
        };
        match (&mut entry.usage, outcome) {
            (usage, Execution::NotRun) => *usage = Usage::Unused,
            (Usage::Taken { execution, .. }, _) => *execution = outcome,
            (Usage::Unused, _) => {}
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: MonotonicTime) {
        while let Some(number) = self.order.front() {
            if self
                .entries
                .get(number)
                .is_some_and(|entry| entry.expires > now)
            {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(number) = self.order.pop_front() else {
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

fn too_many_keys() -> Refusal {
    Refusal::not_run(
        RefusalCode::LimitExceeded,
        "too many idempotency keys are held; use those that were issued, or another instance",
    )
}

// An earlier attempt may have run at the issuer, so neither refusal may say `not-run`.
fn other_issuer(issuer: &InstanceId) -> Refusal {
    Refusal::unknown(
        RefusalCode::IssuerGone,
        &format!(
            "only {} runs requests with this idempotency key; send it there; if that instance has \
             ended, whether an earlier attempt ran cannot be known",
            issuer.name
        ),
    )
}

fn unknown_key() -> Refusal {
    Refusal::unknown(
        RefusalCode::IssuerGone,
        "the idempotency key is not remembered here; whether an earlier attempt ran cannot be known",
    )
}

fn refuse_taken(request: &RequestId, same: bool, execution: Execution) -> Refusal {
    if !same {
        return Refusal::not_run(
            RefusalCode::ClaimConflict,
            "the idempotency key was used for another request; use a new key",
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
