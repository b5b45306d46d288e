//! Steps by which a request takes an idempotency claim.

use crate::{
    ClaimAction, ClaimEvent, ClaimRecord, ClaimState, Execution, Refusal, RefusalCode, RequestId,
};

/// Store calls that one claim makes at most, so that a failing store cannot hold a request.
const MAX_STORE_CALLS: u32 = 6;

/// Takes a claim for one request, or finds out why it cannot be taken.
///
/// The claim counts as taken only when the store said so, or when reading back found this
/// attempt's token. A write whose answer was lost is therefore never repeated under another token.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    record: ClaimRecord,
    calls: u32,
}

impl ClaimAttempt {
    /// Starts a claim for `request`; `token` is random.
    pub fn new(request: RequestId, fingerprint: u64, token: u64) -> Self {
        let record = ClaimRecord {
            token,
            request,
            fingerprint,
            state: ClaimState::Claimed,
        };
        Self { record, calls: 0 }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimAction {
        self.create()
    }

    /// Returns the step that follows `event`.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Written { revision } => ClaimAction::Run { revision },
            ClaimEvent::Found { record, revision } => self.handle_found(record, revision),
            ClaimEvent::Absent => self.create(),
            ClaimEvent::AnswerLost => self.read_back(),
            ClaimEvent::Unreachable => store_unreachable(),
        }
    }

    fn handle_found(&mut self, found: ClaimRecord, revision: u64) -> ClaimAction {
        if found.token == self.record.token {
            return ClaimAction::Run { revision };
        }
        if found.fingerprint != self.record.fingerprint {
            return ClaimAction::Refuse(conflict());
        }
        match found.state {
            ClaimState::Released => self.replace(revision),
            ClaimState::Claimed => ClaimAction::Refuse(claimed(&found, Execution::Unknown)),
            ClaimState::Ran => ClaimAction::Refuse(claimed(&found, Execution::Ran)),
        }
    }

    fn create(&mut self) -> ClaimAction {
        let record = self.record.clone();
        self.within_budget(ClaimAction::Create(record))
    }

    fn replace(&mut self, revision: u64) -> ClaimAction {
        let record = self.record.clone();
        self.within_budget(ClaimAction::Replace { record, revision })
    }

    fn read_back(&mut self) -> ClaimAction {
        self.within_budget(ClaimAction::ReadBack)
    }

    fn within_budget(&mut self, action: ClaimAction) -> ClaimAction {
        if self.calls >= MAX_STORE_CALLS {
            return store_unreachable();
        }
        self.calls += 1;
        action
    }

    /// Returns the record that marks the claim with `state`, once the request has ended.
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
        "this attempt did not run, because its idempotency key cannot be claimed now; an earlier \
         attempt with the same key may have run; try again with the same key, or begin a new \
         payment with a key from POST /v1/idempotency-keys",
    ))
}

fn conflict() -> Refusal {
    Refusal::not_run(
        RefusalCode::ClaimConflict,
        "the idempotency key was used for another request; use a new key",
    )
}

fn claimed(found: &ClaimRecord, execution: Execution) -> Refusal {
    let sentence = match execution {
        Execution::Ran => "it ran",
        Execution::NotRun | Execution::Unknown => "whether it ran is not known yet",
    };
    Refusal {
        code: RefusalCode::AlreadyClaimed,
        execution,
        message: format!(
            "the idempotency key belongs to request {}: {sentence}; see GET /v1/requests/{}",
            found.request, found.request
        ),
        retry_after: None,
    }
}
