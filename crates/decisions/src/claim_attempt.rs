//! State machine by which one request claims its idempotency key in the store.

use crate::{
    ClaimAction, ClaimEvent, ClaimRecord, ClaimState, Execution, Refusal, RefusalCode, RequestId,
    StoreRevision,
};

/// Largest number of store calls for one claim, so that a failing store cannot block a request
/// indefinitely.
const MAX_STORE_CALLS: u32 = 6;

/// Claims an idempotency key for one request, or determines why the request must be refused.
///
/// The attempt holds the claim only after the store confirmed the write or a read returned the
/// token of this attempt. All writes of the attempt use the same token, so that a read can tell
/// whether a write without an answer took effect.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    record: ClaimRecord,
    store_calls: u32,
    settled_era: Option<u64>,
}

impl ClaimAttempt {
    /// Creates the attempt of `request`.
    ///
    /// `fingerprint` is the keyed hash of the request's route and body; `token` is a random number.
    ///
    /// `settled_era` is the era of the store in which a key without an entry was not claimed. It is
    /// `None` while the store may lack claims that it confirmed before it came back from an older
    /// copy. The attempt then claims nothing: an earlier request with the key may have run.
    pub fn new(request: RequestId, fingerprint: u64, token: u64, settled_era: Option<u64>) -> Self {
        let record = ClaimRecord {
            token,
            request,
            fingerprint,
            state: ClaimState::Claimed,
        };
        Self {
            record,
            store_calls: 0,
            settled_era,
        }
    }

    /// Returns the first store call.
    pub fn start(&mut self) -> ClaimAction {
        if self.settled_era.is_none() {
            return self.read_back();
        }
        self.create()
    }

    /// Returns the next step after the store call ended with `event`.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Written { revision } => self.run(revision),
            ClaimEvent::Found { record, revision } => self.handle_found_entry(record, revision),
            ClaimEvent::Absent => self.create(),
            ClaimEvent::AnswerLost => self.read_back(),
            ClaimEvent::Unreachable => store_unreachable(),
        }
    }

    fn handle_found_entry(&mut self, found: ClaimRecord, revision: StoreRevision) -> ClaimAction {
        if found.token == self.record.token {
            return self.run(revision);
        }
        if found.fingerprint != self.record.fingerprint {
            return ClaimAction::Refuse(claim_conflict());
        }
        match found.state {
            ClaimState::Released => self.replace(revision),
            ClaimState::Claimed => ClaimAction::Refuse(already_claimed(&found, Execution::Unknown)),
            ClaimState::Ran => ClaimAction::Refuse(already_claimed(&found, Execution::Ran)),
        }
    }

    /// Runs the request if the claim was made in the settled era.
    fn run(&self, revision: StoreRevision) -> ClaimAction {
        if self.settled_era == Some(revision.era) {
            return ClaimAction::Run { revision };
        }
        ClaimAction::Withdraw {
            record: self.record_with_state(ClaimState::Released),
            revision,
            refusal: claims_lost(),
        }
    }

    fn create(&mut self) -> ClaimAction {
        if self.settled_era.is_none() {
            return ClaimAction::Refuse(claims_lost());
        }
        let record = self.record.clone();
        self.count_store_call(ClaimAction::Create(record))
    }

    fn replace(&mut self, revision: StoreRevision) -> ClaimAction {
        if self.settled_era != Some(revision.era) {
            return ClaimAction::Refuse(claims_lost());
        }
        let record = self.record.clone();
        self.count_store_call(ClaimAction::Replace { record, revision })
    }

    fn read_back(&mut self) -> ClaimAction {
        self.count_store_call(ClaimAction::ReadBack)
    }

    /// Returns `action`, or a refusal if the attempt has made all its store calls.
    fn count_store_call(&mut self, action: ClaimAction) -> ClaimAction {
        if self.store_calls >= MAX_STORE_CALLS {
            return store_unreachable();
        }
        self.store_calls += 1;
        action
    }

    /// Returns the record to store after the request has ended with `state`.
    pub fn record_with_state(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            state,
            ..self.record.clone()
        }
    }
}

fn store_unreachable() -> ClaimAction {
    ClaimAction::Refuse(Refusal::not_run(
        RefusalCode::ClaimStoreUnreachable,
        "this attempt did not run because its idempotency key could not be claimed in the store; \
         an earlier attempt with the same key may have run; retry with the same key; for a new \
         operation, use a key from POST /v1/idempotency-keys",
    ))
}

/// Returns the refusal of a request whose key may have been claimed in a part of the history that
/// the store has lost.
fn claims_lost() -> Refusal {
    Refusal::unknown(
        RefusalCode::ClaimStoreUnreachable,
        "the store lost its latest claims and instances are writing them back: this attempt did \
         not run, an earlier attempt with the same key may have run; retry with the same key in \
         half a minute; for a new operation, use a key from POST /v1/idempotency-keys",
    )
}

fn claim_conflict() -> Refusal {
    Refusal::not_run(
        RefusalCode::ClaimConflict,
        "the idempotency key was already used for a different request; use a new key",
    )
}

fn already_claimed(found: &ClaimRecord, execution: Execution) -> Refusal {
    let outcome = match execution {
        Execution::Ran => "it ran",
        Execution::NotRun | Execution::Unknown => "it is not yet known whether it ran",
    };
    Refusal {
        code: RefusalCode::AlreadyClaimed,
        execution,
        message: format!(
            "the idempotency key belongs to request {}: {outcome}; see GET /v1/requests/{}",
            found.request, found.request
        ),
        retry_after: None,
    }
}
