//! Claim of an idempotency key by a request.

use bytes::Bytes;
use hawthornquay_decisions::{
    ClaimAction, ClaimAttempt, ClaimEvent, ClaimRecord, ClaimState, Execution, IssuedKey, Refusal,
};
use hawthornquay_store::{Entry, LeaseId, PlatformError, StoreRevision};
use slog::{error, warn};

use crate::{ActiveBundle, ClaimKey, Node, OutboundRequest, clock, store_recovery::settled_era};

/// Exclusive right of one request to run under its idempotency key.
pub struct Claim {
    held: HeldClaim,
}

enum HeldClaim {
    /// The request has no key, or it may be repeated without one.
    NoneNeeded,
    /// Key that this process issued; the claim is kept in memory.
    Issued(IssuedKey),
    /// Key that the caller chose; the claim is an entry in the store.
    Stored {
        attempt: ClaimAttempt,
        key: String,
        revision: StoreRevision,
    },
}

impl Claim {
    /// Claims the idempotency key of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if an earlier request holds the key or the store cannot confirm the claim.
    pub async fn take(
        node: &Node,
        req: &OutboundRequest,
        key: Option<&str>,
        bundle: &ActiveBundle,
    ) -> Result<Self, Refusal> {
        let Some(text) = key.filter(|_| !req.repeatable) else {
            return Ok(Self {
                held: HeldClaim::NoneNeeded,
            });
        };
        let claim_key = ClaimKey::new(&bundle.bundle().key_salt, &req.organisation.id, text);
        let fingerprint = claim_key.fingerprint(req.method.as_str(), &req.path, &req.body);
        let held = match IssuedKey::parse(text) {
            Some(key) => take_issued(node, req, key, fingerprint)?,
            None => take_stored(node, req, &claim_key, fingerprint).await?,
        };
        node.requests.record(&req.id, crate::Decision::KeyClaimed);
        Ok(Self { held })
    }

    /// Records whether the request ran; the key of one that did not run can be claimed again.
    pub async fn finish(self, node: &Node, execution: Execution) {
        match self.held {
            HeldClaim::NoneNeeded => {}
            HeldClaim::Issued(key) => node.issued_keys.lock().record_outcome(&key, execution),
            HeldClaim::Stored {
                attempt,
                key,
                revision,
            } => {
                let state = match execution {
                    Execution::NotRun => ClaimState::Released,
                    Execution::Ran => ClaimState::Ran,
                    Execution::Unknown => return,
                };
                let record = attempt.record_with_state(state);
                let revision = {
                    let mut journal = node.claim_journal.lock();
                    // The claim may have been written back at another revision.
                    let revision = journal.revision(&key, record.token).unwrap_or(revision);
                    journal.record(&key, record.clone(), revision, clock::now());
                    revision
                };
                write_outcome(node, &key, &record, revision).await;
            }
        }
    }
}

fn take_issued(
    node: &Node,
    req: &OutboundRequest,
    key: IssuedKey,
    fingerprint: u64,
) -> Result<HeldClaim, Refusal> {
    let organisation = &req.organisation.id;
    let mut keys = node.issued_keys.lock();
    keys.claim(&key, organisation, &req.id, fingerprint, clock::now())?;
    Ok(HeldClaim::Issued(key))
}

async fn take_stored(
    node: &Node,
    req: &OutboundRequest,
    claim_key: &ClaimKey,
    fingerprint: u64,
) -> Result<HeldClaim, Refusal> {
    let key = claim_key.store_key();
    let mut attempt = ClaimAttempt::new(
        req.id.clone(),
        fingerprint,
        rand::random(),
        settled_era(node),
    );
    let mut action = attempt.start();
    loop {
        let event = match action {
            ClaimAction::Create(record) => write(node, &key, &record, StoreRevision::ABSENT).await,
            ClaimAction::Replace { record, revision } => write(node, &key, &record, revision).await,
            ClaimAction::ReadBack => read_back(node, &key).await,
            ClaimAction::Run { revision } => {
                let record = attempt.record_with_state(ClaimState::Claimed);
                node.claim_journal
                    .lock()
                    .record(&key, record, revision, clock::now());
                return Ok(HeldClaim::Stored {
                    attempt,
                    key,
                    revision,
                });
            }
            ClaimAction::Refuse(refusal) => return Err(refusal),
            ClaimAction::Withdraw {
                record,
                revision,
                refusal,
            } => {
                write_outcome(node, &key, &record, revision).await;
                return Err(refusal);
            }
        };
        action = attempt.handle(event);
    }
}

async fn write(node: &Node, key: &str, record: &ClaimRecord, expect: StoreRevision) -> ClaimEvent {
    let Some(lease) = claim_lease(node).await else {
        return ClaimEvent::Unreachable;
    };
    let written = node
        .platform
        .compare_and_swap(key, &encode(record), expect, Some(lease))
        .await;
    match written {
        Ok(revision) => ClaimEvent::Written { revision },
        Err(PlatformError::Conflict {
            current: Some(entry),
        }) => found_entry(&entry),
        Err(PlatformError::Conflict { current: None }) => ClaimEvent::Absent,
        Err(PlatformError::UnknownOutcome(_)) => ClaimEvent::AnswerLost,
        Err(PlatformError::NotFound) => {
            node.claim_leases.remove(lease).await;
            ClaimEvent::Absent
        }
        Err(error) => unreachable_store(node, &error),
    }
}

async fn read_back(node: &Node, key: &str) -> ClaimEvent {
    match node.platform.get(key).await {
        Ok(entry) => found_entry(&entry),
        Err(PlatformError::NotFound) => ClaimEvent::Absent,
        Err(PlatformError::UnknownOutcome(_)) => ClaimEvent::AnswerLost,
        Err(error) => unreachable_store(node, &error),
    }
}

fn found_entry(entry: &Entry) -> ClaimEvent {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => ClaimEvent::Found {
            record,
            revision: entry.revision,
        },
        // The entry may belong to a request that ran, so the key must not be claimed again.
        Err(_) => ClaimEvent::Unreachable,
    }
}

fn unreachable_store(node: &Node, error: &PlatformError) -> ClaimEvent {
    warn!(node.log.claims, "claim not recorded, store call failed"; "error" => %error);
    ClaimEvent::Unreachable
}

async fn claim_lease(node: &Node) -> Option<LeaseId> {
    match node
        .claim_leases
        .current(&node.platform, clock::now())
        .await
    {
        Ok(lease) => Some(lease),
        Err(error) => {
            warn!(node.log.claims, "lease for claims not granted"; "error" => %error);
            None
        }
    }
}

async fn write_outcome(node: &Node, key: &str, record: &ClaimRecord, expect: StoreRevision) {
    let Some(lease) = claim_lease(node).await else {
        return;
    };
    let closed = node
        .platform
        .compare_and_swap(key, &encode(record), expect, Some(lease))
        .await;
    match closed {
        Ok(revision) => {
            let mut journal = node.claim_journal.lock();
            journal.record_revision(key, record.token, revision);
        }
        Err(error) => {
            warn!(node.log.claims, "outcome of a claimed request not recorded"; "error" => %error);
        }
    }
}

/// Writes back the claims that the store confirmed to this process before `era`, and that it may
/// have lost when it came back from an older copy.
///
/// A claim that cannot be written now is written by a later call.
pub async fn write_back_claims(node: &Node, era: u64) {
    let lost = node.claim_journal.lock().confirmed_before(era);
    for (key, record) in lost {
        if write_back(node, &key, &record).await.is_none() {
            return;
        }
    }
}

/// Writes back one claim; returns `None` if the store did not confirm it.
async fn write_back(node: &Node, key: &str, record: &ClaimRecord) -> Option<()> {
    let mut expect = StoreRevision::ABSENT;
    loop {
        let lease = claim_lease(node).await?;
        let written = node
            .platform
            .compare_and_swap(key, &encode(record), expect, Some(lease))
            .await;
        let found = match written {
            Ok(revision) => {
                let mut journal = node.claim_journal.lock();
                journal.record_revision(key, record.token, revision);
                return Some(());
            }
            Err(PlatformError::Conflict { current }) => current,
            Err(PlatformError::NotFound) => {
                node.claim_leases.remove(lease).await;
                return None;
            }
            Err(error) => {
                warn!(node.log.claims, "claim not written back"; "error" => %error);
                return None;
            }
        };
        let Some(entry) = found else {
            expect = StoreRevision::ABSENT;
            continue;
        };
        match serde_json::from_slice::<ClaimRecord>(&entry.value) {
            Ok(found) if found == *record => {
                let mut journal = node.claim_journal.lock();
                journal.record_revision(key, record.token, entry.revision);
                return Some(());
            }
            Ok(found) if found.token == record.token || found.state == ClaimState::Released => {
                expect = entry.revision;
            }
            _ => {
                error!(node.log.claims, "claim not written back, another request has its key"; "request" => %record.request);
                node.claim_journal.lock().remove(key);
                return Some(());
            }
        }
    }
}

fn encode(record: &ClaimRecord) -> Bytes {
    serde_json::to_vec(record)
        .expect("a claim contains only text and numbers")
        .into()
}
