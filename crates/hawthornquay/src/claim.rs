//! Claim of an idempotency key by a request.

use bytes::Bytes;
use hawthornquay_decisions::{
    ClaimAction, ClaimAttempt, ClaimEvent, ClaimRecord, ClaimState, Execution, IssuedKey, Refusal,
};
use hawthornquay_store::{Entry, LeaseId, PlatformError, StoreRevision};
use slog::warn;

use crate::{ActiveBundle, ClaimKey, Node, OutboundRequest, clock};

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
    let mut attempt = ClaimAttempt::new(req.id.clone(), fingerprint, rand::random());
    let mut action = attempt.start();
    loop {
        let event = match action {
            ClaimAction::Create(record) => write(node, &key, &record, StoreRevision::ABSENT).await,
            ClaimAction::Replace { record, revision } => write(node, &key, &record, revision).await,
            ClaimAction::ReadBack => read_back(node, &key).await,
            ClaimAction::Run { revision } => {
                return Ok(HeldClaim::Stored {
                    attempt,
                    key,
                    revision,
                });
            }
            ClaimAction::Refuse(refusal) => return Err(refusal),
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
    if let Err(error) = closed {
        warn!(node.log.claims, "outcome of a claimed request not recorded"; "error" => %error);
    }
}

fn encode(record: &ClaimRecord) -> Bytes {
    serde_json::to_vec(record)
        .expect("a claim contains only text and numbers")
        .into()
}
