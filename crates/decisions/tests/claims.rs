//! Tests of idempotency claims under lost answers, races and an unreachable store, and of issued
//! keys.

use hawthornquay_decisions::{
    ClaimAction, ClaimAttempt, ClaimEvent, ClaimRecord, ClaimState, Execution, IssuedKey,
    IssuedKeyTable, MonotonicTime, OrganisationId, RefusalCode, RequestId, StoreRevision,
};
use proptest::prelude::*;

/// Store with one entry, whose calls and answers can be lost.
#[derive(Default)]
struct FakeStore {
    entry: Option<(ClaimRecord, StoreRevision)>,
    revision: StoreRevision,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost; the caller cannot tell this from a lost answer.
    CallLost,
    /// The call fails, and the caller knows that it did not take effect.
    Unreachable,
}

impl FakeStore {
    fn write(&mut self, record: ClaimRecord, expect: StoreRevision) -> ClaimEvent {
        let current = self
            .entry
            .as_ref()
            .map_or(StoreRevision::ABSENT, |(_, revision)| *revision);
        if current != expect {
            return self.read();
        }
        self.revision.revision += 1;
        self.entry = Some((record, self.revision));
        ClaimEvent::Written {
            revision: self.revision,
        }
    }

    fn read(&self) -> ClaimEvent {
        match &self.entry {
            Some((record, revision)) => ClaimEvent::Found {
                record: record.clone(),
                revision: *revision,
            },
            None => ClaimEvent::Absent,
        }
    }

    fn call(&mut self, action: &ClaimAction, fault: Fault) -> ClaimEvent {
        match fault {
            Fault::Unreachable => return ClaimEvent::Unreachable,
            Fault::CallLost => return ClaimEvent::AnswerLost,
            Fault::None | Fault::AnswerLost => {}
        }
        let event = match action {
            ClaimAction::Create(record) => self.write(record.clone(), StoreRevision::ABSENT),
            ClaimAction::Replace { record, revision } => self.write(record.clone(), *revision),
            ClaimAction::ReadBack => self.read(),
            ClaimAction::Run { .. } | ClaimAction::Refuse(_) | ClaimAction::Withdraw { .. } => {
                unreachable!("not a store call")
            }
        };
        if matches!(fault, Fault::AnswerLost) {
            ClaimEvent::AnswerLost
        } else {
            event
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::CallLost),
        1 => Just(Fault::Unreachable),
    ]
}

fn request(number: usize) -> RequestId {
    RequestId::new(&format!("lagos-1-{number}"))
}

/// Claim attempt that advances by one store call at a time.
struct Attempt {
    claim: ClaimAttempt,
    action: ClaimAction,
    released: bool,
}

impl Attempt {
    fn new(number: usize) -> Self {
        let mut claim = ClaimAttempt::new(request(number), 7, number as u64 + 1, Some(0));
        let action = claim.start();
        Self {
            claim,
            action,
            released: false,
        }
    }

    fn step(&mut self, store: &mut FakeStore, fault: Fault, release: bool) {
        match &self.action {
            ClaimAction::Refuse(_) | ClaimAction::Withdraw { .. } => {}
            ClaimAction::Run { revision } if release && !self.released => {
                let record = self.claim.record_with_state(ClaimState::Released);
                let _ = store.write(record, *revision);
                self.released = true;
            }
            ClaimAction::Run { .. } => {}
            action => {
                let event = store.call(action, fault);
                self.action = self.claim.handle(event);
            }
        }
    }

    fn runs(&self) -> bool {
        matches!(self.action, ClaimAction::Run { .. }) && !self.released
    }
}

proptest! {
    /// Guards against a duplicate payment: concurrent attempts with the same key must not both run,
    /// whichever calls and answers are lost.
    #[test]
    fn claim_attempt_races_run_at_most_once(
        steps in prop::collection::vec((0_usize..4, fault(), any::<bool>()), 0..80),
    ) {
        let mut store = FakeStore::default();
        let mut attempts: Vec<Attempt> = (0..4).map(Attempt::new).collect();
        for (index, fault, release) in steps {
            attempts[index].step(&mut store, fault, release && index % 2 == 0);
            prop_assert!(attempts.iter().filter(|attempt| attempt.runs()).count() <= 1);
        }
    }

    /// Guards against a claim attempt that retries without end while the store fails.
    #[test]
    fn claim_attempt_ends_while_the_store_fails(faults in prop::collection::vec(fault(), 32)) {
        let mut store = FakeStore::default();
        let mut attempt = Attempt::new(0);
        for fault in faults {
            attempt.step(&mut store, fault, false);
        }
        let ended = matches!(attempt.action, ClaimAction::Run { .. } | ClaimAction::Refuse(_));
        prop_assert!(ended);
    }
}

/// Guards against a request that reuses a key with a different body and is treated as the same
/// payment.
#[test]
fn claim_attempt_with_another_body_conflicts() {
    let mut store = FakeStore::default();
    let mut first = Attempt::new(0);
    first.step(&mut store, Fault::None, false);
    let mut second = ClaimAttempt::new(request(1), 8, 2, Some(0));
    let event = store.call(&second.start(), Fault::None);
    let ClaimAction::Refuse(refusal) = second.handle(event) else {
        panic!("an attempt with another body is not refused")
    };
    assert_eq!(refusal.code, RefusalCode::ClaimConflict);
}

/// Guards against the answer `not-run` to a resent payment that an earlier attempt may have run.
#[test]
fn claim_attempt_resend_reports_recorded_state() {
    for (state, execution) in [
        (ClaimState::Claimed, Execution::Unknown),
        (ClaimState::Ran, Execution::Ran),
    ] {
        let mut store = FakeStore::default();
        let first = ClaimAttempt::new(request(0), 7, 1, Some(0));
        store.write(first.record_with_state(state), StoreRevision::ABSENT);
        let mut resend = ClaimAttempt::new(request(1), 7, 2, Some(0));
        let event = store.call(&resend.start(), Fault::None);
        let ClaimAction::Refuse(refusal) = resend.handle(event) else {
            panic!("a resend is not refused in state {state:?}")
        };
        assert_eq!(
            (refusal.code, refusal.execution),
            (RefusalCode::AlreadyClaimed, execution)
        );
    }
}

/// Guards against a payment that runs twice while the store lacks claims that it confirmed: an
/// absent or released entry does not show that no request with the key ran.
#[test]
fn claim_attempt_is_refused_while_claims_may_be_missing() {
    let released = ClaimAttempt::new(request(0), 7, 1, Some(0));
    let released = released.record_with_state(ClaimState::Released);
    for entry in [None, Some(released)] {
        let mut store = FakeStore::default();
        if let Some(record) = entry.clone() {
            store.write(record, StoreRevision::ABSENT);
        }
        let mut claim = ClaimAttempt::new(request(1), 7, 2, None);
        let event = store.call(&claim.start(), Fault::None);
        let ClaimAction::Refuse(refusal) = claim.handle(event) else {
            panic!("an attempt is not refused with {entry:?}")
        };
        assert_eq!(refusal.execution, Execution::Unknown);
    }
}

/// Guards against a payment that runs twice because the store came back from a copy just before the
/// claim was written, and against a claim that blocks the key although nothing ran.
#[test]
fn claim_attempt_written_in_another_era_is_withdrawn() {
    let mut store = FakeStore::default();
    let mut claim = ClaimAttempt::new(request(0), 7, 1, Some(0));
    let create = claim.start();
    store.revision.era = 1;
    let event = store.call(&create, Fault::None);
    let ClaimAction::Withdraw {
        record,
        revision,
        refusal,
    } = claim.handle(event)
    else {
        panic!("an attempt of an earlier era is not withdrawn")
    };
    assert_eq!(
        (refusal.execution, record.state),
        (Execution::Unknown, ClaimState::Released)
    );
    assert!(matches!(
        store.write(record, revision),
        ClaimEvent::Written { .. }
    ));
}

fn issued_keys() -> IssuedKeyTable {
    IssuedKeyTable::new(hawthornquay_decisions::InstanceId::new("lagos-1", 9))
}

/// Guards against a payment that runs twice because it was sent twice with an issued key.
#[test]
fn issued_key_second_use_is_refused() {
    let (mut table, org) = (issued_keys(), OrganisationId::new("kolanut"));
    let now = MonotonicTime::default();
    let key = table.issue(&org, 5, now).unwrap();
    table.claim(&key, &org, &request(0), 1, now).unwrap();
    let refusal = table.claim(&key, &org, &request(1), 1, now).unwrap_err();
    assert_eq!(refusal.execution, Execution::Unknown);
    table.record_outcome(&key, Execution::Ran);
    let refusal = table.claim(&key, &org, &request(1), 1, now).unwrap_err();
    assert_eq!(refusal.execution, Execution::Ran);
}

/// Guards against a key that stays claimed after its request was refused before it ran.
#[test]
fn issued_key_is_released_if_its_request_was_not_run() {
    let (mut table, org) = (issued_keys(), OrganisationId::new("kolanut"));
    let now = MonotonicTime::default();
    let key = table.issue(&org, 5, now).unwrap();
    table.claim(&key, &org, &request(0), 1, now).unwrap();
    table.record_outcome(&key, Execution::NotRun);
    assert!(table.claim(&key, &org, &request(1), 1, now).is_ok());
}

/// Guards against a key that another organisation uses, or that is used after its issuer restarted
/// and lost its table.
#[test]
fn issued_key_of_another_organisation_or_process_is_refused() {
    let (mut table, org) = (issued_keys(), OrganisationId::new("kolanut"));
    let now = MonotonicTime::default();
    let key = table.issue(&org, 5, now).unwrap();
    let other = OrganisationId::new("other");
    assert!(table.claim(&key, &other, &request(0), 1, now).is_err());
    let mut restarted = IssuedKeyTable::new(hawthornquay_decisions::InstanceId::new("lagos-1", 10));
    let refusal = restarted
        .claim(&key, &org, &request(0), 1, now)
        .unwrap_err();
    assert_eq!(
        (refusal.code, refusal.execution),
        (RefusalCode::IssuerGone, Execution::Unknown)
    );
    let parsed = IssuedKey::parse(&key.to_string());
    assert_eq!(parsed.as_ref(), Some(&key));
}
