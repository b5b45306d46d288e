//! Claims of idempotency keys.

use bytes::Bytes;
use hawthornquay_decisions::{
    ClaimAction, ClaimAttempt, ClaimEvent, ClaimRecord, ClaimState, Execution, IssuedKey, Refusal,
};
use hawthornquay_store::{Entry, LeaseId, PlatformError, Revision};
use slog::warn;

use crate::{ActiveBundle, ClaimKey, Node, OutboundRequest, clock};

/// Right of one request to run under an idempotency key.
pub struct Claim {
    held: Held,
}

enum Held {
    /// The request came without a key, or may be repeated.
    Nothing,
    /// A key that this process issued.
    Issued(IssuedKey),
    /// An entry in the store.
    Stored {
        process: ClaimAttempt,
        key: String,
        revision: Revision,
    },
}

impl Claim {
    /// Takes the claim of a request's idempotency key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if an earlier request holds the key or the store cannot record the claim.
    pub async fn take(
        node: &Node,
        req: &OutboundRequest,
        key: Option<&str>,
        bundle: &ActiveBundle,
    ) -> Result<Self, Refusal> {
        let Some(text) = key.filter(|_| !req.repeatable) else {
            return Ok(Self {
                held: Held::Nothing,
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

    /// Records how the request ended; one that was not run frees the key.
    pub async fn finish(self, node: &Node, execution: Execution) {
        match self.held {
            Held::Nothing => {}
            Held::Issued(key) => node.issued_keys.lock().record_outcome(&key, execution),
            Held::Stored {
                process,
                key,
                revision,
            } => {
                let state = match execution {
                    Execution::NotRun => ClaimState::Released,
                    Execution::Ran => ClaimState::Ran,
                    Execution::Unknown => return,
                };
                let record = process.record_with_state(state);
                close_stored(node, &key, &record, revision).await;
            }
        }
    }
}

fn take_issued(
    node: &Node,
    req: &OutboundRequest,
    key: IssuedKey,
    fingerprint: u64,
) -> Result<Held, Refusal> {
    let organisation = &req.organisation.id;
    let mut keys = node.issued_keys.lock();
    keys.claim(&key, organisation, &req.id, fingerprint, clock::now())?;
    Ok(Held::Issued(key))
}

async fn take_stored(
    node: &Node,
    req: &OutboundRequest,
    claim_key: &ClaimKey,
    fingerprint: u64,
) -> Result<Held, Refusal> {
    let key = claim_key.store_key();
    let mut process = ClaimAttempt::new(req.id.clone(), fingerprint, rand::random());
    let mut action = process.start();
    loop {
        let event = match action {
            ClaimAction::Create(record) => write(node, &key, &record, Revision(0)).await,
            ClaimAction::Replace { record, revision } => {
                write(node, &key, &record, Revision(revision)).await
            }
            ClaimAction::ReadBack => read(node, &key).await,
            ClaimAction::Run { revision } => {
                return Ok(Held::Stored {
                    process,
                    key,
                    revision: Revision(revision),
                });
            }
            ClaimAction::Refuse(refusal) => return Err(refusal),
        };
        action = process.handle(event);
    }
}

async fn write(node: &Node, key: &str, record: &ClaimRecord, expect: Revision) -> ClaimEvent {
    let Some(lease) = claim_lease(node).await else {
        return ClaimEvent::Unreachable;
    };
    let written = node
        .platform
        .compare_and_swap(key, &encode(record), expect, Some(lease))
        .await;
    match written {
        Ok(revision) => ClaimEvent::Written {
            revision: revision.0,
        },
        Err(PlatformError::Conflict {
            current: Some(entry),
        }) => found(&entry),
        Err(PlatformError::Conflict { current: None }) => ClaimEvent::Absent,
        Err(PlatformError::UnknownOutcome(_)) => ClaimEvent::AnswerLost,
        Err(PlatformError::NotFound) => {
            node.claim_leases.forget(lease).await;
            ClaimEvent::Absent
        }
        Err(error) => unreachable_store(node, &error),
    }
}

async fn read(node: &Node, key: &str) -> ClaimEvent {
    match node.platform.get(key).await {
        Ok(entry) => found(&entry),
        Err(PlatformError::NotFound) => ClaimEvent::Absent,
        Err(PlatformError::UnknownOutcome(_)) => ClaimEvent::AnswerLost,
        Err(error) => unreachable_store(node, &error),
    }
}

fn found(entry: &Entry) -> ClaimEvent {
    match serde_json::from_slice(&entry.value) {
        Ok(record) => ClaimEvent::Found {
            record,
            revision: entry.revision.0,
        },
        // An entry that cannot be read may stand for a request that ran.
        Err(_) => ClaimEvent::Unreachable,
    }
}

fn unreachable_store(node: &Node, error: &PlatformError) -> ClaimEvent {
    warn!(node.log.claims, "store refused a claim"; "error" => %error);
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
            warn!(node.log.claims, "store granted no lease"; "error" => %error);
            None
        }
    }
}

async fn close_stored(node: &Node, key: &str, record: &ClaimRecord, expect: Revision) {
    let Some(lease) = claim_lease(node).await else {
        return;
    };
    let closed = node
        .platform
        .compare_and_swap(key, &encode(record), expect, Some(lease))
        .await;
    if let Err(error) = closed {
        warn!(node.log.claims, "claim stays open"; "error" => %error);
    }
}

fn encode(record: &ClaimRecord) -> Bytes {
    serde_json::to_vec(record)
        .expect("a claim has only text and numbers")
        .into()
}
