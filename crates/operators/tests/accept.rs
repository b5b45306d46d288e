//! Checks that bundles are accepted exactly once and that the outcome is reported correctly.

mod common;

use std::{future::Future, pin::Pin};

use common::{
    bundle_text, document,
    fake_store::{CallFault, FakeStore, block_on, interleave},
    key,
};
use hawthornquay_decisions::StoreRevision;
use hawthornquay_operators::{
    AcceptError, AcceptRequest, AcceptedBundle, AuditAction, AuditRecord, BundleDocument,
    BundleHead, BundleSignature, HEAD_KEY, LoadError, OperatorKey, SignatureError, StoreError,
    accept_bundle, era_marker_key, load_content, load_differences, load_head, restore_bundle,
};
use proptest::prelude::*;

fn document_with_rate(version: u64, rate: u64) -> BundleDocument {
    let text = bundle_text(version, 1).replace("rate = 2000", &format!("rate = {rate}"));
    BundleDocument::read("bundle.ini", &text).unwrap()
}

fn signatures_by_ada(document: &BundleDocument) -> Vec<BundleSignature> {
    vec![key(0).sign("ada", document.version(), &document.digest())]
}

async fn accept(
    store: &FakeStore,
    document: &BundleDocument,
    who: &str,
) -> Result<AcceptedBundle, AcceptError> {
    let signatures = signatures_by_ada(document);
    let request = AcceptRequest {
        document,
        signatures: &signatures,
        first_trust: None,
        who,
        when_ms: 1_000,
    };
    accept_bundle(store, &request).await
}

fn store_with_accepted(document: &BundleDocument) -> FakeStore {
    let store = FakeStore::default();
    block_on(accept(&store, document, "ada")).unwrap();
    store
}

fn heads(store: &FakeStore) -> Vec<BundleHead> {
    store
        .heads()
        .iter()
        .map(|value| serde_json::from_slice(value).unwrap())
        .collect()
}

/// Guards against content of old versions that is never deleted and fills the store.
#[test]
fn accept_many_versions_keeps_the_content_of_the_last_two() {
    let store = store_with_accepted(&document(7));
    for version in 8..20 {
        block_on(accept(&store, &document_with_rate(version, version), "ada")).unwrap();
        let head = block_on(load_head(&store)).unwrap().unwrap().head;
        assert!(block_on(load_content(&store, &head)).is_ok());
    }
    assert_eq!(store.keys("bundle/content/").len(), 2);
}

/// Guards against a head whose content, difference or audit record is missing.
#[test]
fn accept_stores_content_difference_and_audit_record() {
    let store = store_with_accepted(&document(7));
    let new = document_with_rate(8, 5);
    let accepted = block_on(accept(&store, &new, "ada")).unwrap();
    let head = block_on(load_head(&store)).unwrap().unwrap();
    assert_eq!(
        (head.head.version, Some(head.revision)),
        (8, accepted.revision)
    );
    assert_eq!(
        block_on(load_content(&store, &head.head)).unwrap().bundle(),
        new.bundle()
    );
    let differences = block_on(load_differences(&store, &head.head, 7)).unwrap();
    assert_eq!(differences.len(), 1);
    let applied = differences[0].verify_and_apply(&document(7)).unwrap();
    assert_eq!(applied.digest(), new.digest());
    let audit = store.value(&format!("audit/{}", head.revision)).unwrap();
    let audit: AuditRecord = serde_json::from_slice(&audit).unwrap();
    let AuditAction::BundleAccepted { version, .. } = audit.action else {
        panic!("{audit:?}");
    };
    assert_eq!(
        (audit.who.as_str(), version, audit.when_ms),
        ("ada", 8, 1_000)
    );
}

fn audited_changes(store: &FakeStore, revision: StoreRevision) -> serde_json::Value {
    let audit = store.value(&format!("audit/{revision}")).unwrap();
    let audit: serde_json::Value = serde_json::from_slice(&audit).unwrap();
    audit["changes"].clone()
}

/// Guards against audit records without the changes of the bundle, or with names of organisations.
#[test]
fn accept_audit_counts_the_changes_by_kind() {
    let store = store_with_accepted(&document(7));
    let first = block_on(load_head(&store)).unwrap().unwrap().revision;
    assert_eq!(audited_changes(&store, first)["signer"]["added"], 2);
    let signer = OperatorKey::generate().unwrap().public_base64();
    let text = bundle_text(8, 1)
        .replace("rate = 2000", "rate = 5")
        .replace("[key yard-1]", "[key yard-2]")
        .replace("key_salt", &format!("signer.new = {signer}\nkey_salt"));
    let new = BundleDocument::read("bundle.ini", &text).unwrap();
    let accepted = block_on(accept(&store, &new, "ada")).unwrap();
    let revision = accepted.revision.unwrap();
    let expected = serde_json::json!({
        "key": {"added": 1, "changed": 0, "removed": 1},
        "organisation": {"added": 0, "changed": 1, "removed": 0},
        "signer": {"added": 1, "changed": 0, "removed": 0},
    });
    assert_eq!(audited_changes(&store, revision), expected);
    let audit = store.value(&format!("audit/{revision}")).unwrap();
    assert!(!String::from_utf8(audit).unwrap().contains("yard"));

    // If the record is missing, accepting the bundle again writes the same counts.
    store.remove(&format!("audit/{revision}"));
    assert!(block_on(accept(&store, &new, "bola")).unwrap().was_in_force);
    assert_eq!(audited_changes(&store, revision), expected);
}

/// Guards against refusing audit records of older versions, which have no counts of changes.
#[test]
fn audit_record_without_changes_is_parsed() {
    let old = serde_json::json!({"who": "ada", "what": "bundle-accepted", "version": 7,
        "digest": "07".repeat(32), "when_ms": 1});
    let record: AuditRecord = serde_json::from_value(old).unwrap();
    let AuditAction::BundleAccepted { changes, .. } = record.action else {
        panic!("{record:?}");
    };
    assert_eq!(changes, None);
}

/// Guards against accepting a bundle without valid signatures by signers of its predecessor.
#[test]
fn accept_without_valid_signature_changes_nothing() {
    let store = store_with_accepted(&document(7));
    let new = document_with_rate(8, 5);
    let cases = [
        vec![],
        signatures_by_ada(&document_with_rate(8, 6)),
        vec![
            hawthornquay_operators::OperatorKey::generate()
                .unwrap()
                .sign("ada", 8, &new.digest()),
        ],
    ];
    for signatures in cases {
        let request = AcceptRequest {
            document: &new,
            signatures: &signatures,
            first_trust: None,
            who: "eve",
            when_ms: 1,
        };
        let error = block_on(accept_bundle(&store, &request)).unwrap_err();
        assert!(matches!(
            error,
            AcceptError::Signatures(SignatureError::TooFew { .. })
        ));
    }
    assert_eq!((heads(&store).len(), store.keys("audit/").len()), (1, 1));
}

/// Guards against accepting a first bundle that no signer of the settings has signed.
#[test]
fn accept_first_bundle_is_checked_against_the_given_trust() {
    let other_key = hawthornquay_operators::OperatorKey::generate().unwrap();
    let settings =
        common::settings_text().replace(&key(0).public_base64(), &other_key.public_base64());
    let settings = hawthornquay_operators::DaemonSettings::read("d.ini", &settings).unwrap();
    let (store, first) = (FakeStore::default(), document(7));
    let signatures = signatures_by_ada(&first);
    let request = AcceptRequest {
        document: &first,
        signatures: &signatures,
        first_trust: Some(&settings.trust),
        who: "ada",
        when_ms: 1,
    };
    let error = block_on(accept_bundle(&store, &request)).unwrap_err();
    assert!(matches!(error, AcceptError::Signatures(_)));
    assert!(heads(&store).is_empty());
}

/// Guards against accepting a version that is not one above the version in force.
#[test]
fn accept_version_gap_is_refused() {
    let store = store_with_accepted(&document(7));
    let error = block_on(accept(&store, &document(9), "ada")).unwrap_err();
    assert_eq!(
        error,
        AcceptError::VersionGap {
            version: 9,
            current: 7
        }
    );
    assert_eq!(heads(&store).len(), 1);
}

/// Guards against a conflict error without the difference to the bundle that was accepted first.
#[test]
fn accept_conflict_contains_the_difference() {
    let store = store_with_accepted(&document(7));
    block_on(accept(&store, &document_with_rate(8, 5), "ada")).unwrap();
    let AcceptError::Conflict(conflict) =
        block_on(accept(&store, &document_with_rate(8, 6), "bola")).unwrap_err()
    else {
        panic!("the second bundle must be refused");
    };
    assert_eq!(conflict.current.version, 8);
    assert_eq!(
        conflict
            .difference
            .apply(&document_with_rate(8, 6))
            .unwrap()
            .digest(),
        document_with_rate(8, 5).digest()
    );
    assert!(
        conflict
            .difference
            .to_string()
            .contains("~ [organisation yard]\nburst = 20000\nrate = 5\n")
    );
}

/// Guards against a repeated accept that fails or writes a second audit record.
#[test]
fn accept_again_changes_nothing() {
    let store = store_with_accepted(&document(7));
    let again = block_on(accept(&store, &document(7), "bola")).unwrap();
    assert!(again.was_in_force);
    assert_eq!((heads(&store).len(), store.keys("audit/").len()), (1, 1));
}

/// Guards against a wrong outcome after a call whose request or response is lost or delayed.
#[test]
fn accept_succeeds_after_a_lost_or_delayed_call() {
    for fault in [
        CallFault::RequestLost,
        CallFault::ResponseLost,
        CallFault::Delayed,
    ] {
        for call in 0..12 {
            let store = store_with_accepted(&document(7));
            let mut faults = vec![CallFault::None; call];
            faults.push(fault);
            store.inject_faults(faults);
            let accepted = block_on(accept(&store, &document_with_rate(8, 5), "ada"));
            assert!(accepted.is_ok(), "{fault:?} at call {call}: {accepted:?}");
            store.apply_delayed_writes();
            assert_eq!(heads(&store).len(), 2, "{fault:?} at call {call}");
        }
    }
}

/// Guards against reporting a conflict for a bundle that was accepted: the response to the write of
/// the head is lost, and a later version replaces the head before it is read back.
#[test]
fn accept_replaced_before_the_read_back_succeeds() {
    let store = store_with_accepted(&document(7));
    let (own, next) = (document_with_rate(8, 5), document_with_rate(9, 6));
    let mut faults = vec![CallFault::None; 4];
    faults.push(CallFault::ResponseLost);
    store.inject_faults(faults);
    let operators: Vec<Pin<Box<dyn Future<Output = _>>>> = vec![
        Box::pin(accept(&store, &own, "ada")),
        Box::pin(accept(&store, &next, "bola")),
    ];
    // The first operator writes the head in its sixth turn. Then the second operator completes.
    let schedule: Vec<usize> = [vec![0; 6], vec![1; 40]].concat();
    let results = interleave(operators, &schedule);
    assert_eq!(heads(&store).last().unwrap().version, 9);
    assert_eq!(results[0].as_ref().unwrap().revision, None);
    assert!(results[1].is_ok());
    assert_eq!(store.keys("audit/").len(), 3);
}

/// Guards against reporting success while the store is unreachable or refuses calls, against the
/// wrong error for an exceeded rate limit, and against a partly written bundle in force.
#[test]
fn accept_with_failing_store_reports_the_outcome() {
    let cases = [
        (CallFault::Unreachable, StoreError::Unreachable),
        (CallFault::RateExceeded, StoreError::RateExceeded),
    ];
    for (fault, expected) in cases {
        for call in 0..8 {
            let store = store_with_accepted(&document(7));
            let mut faults = vec![CallFault::None; call];
            faults.extend([fault; 20]);
            store.inject_faults(faults);
            let result = block_on(accept(&store, &document_with_rate(8, 5), "ada"));
            store.apply_delayed_writes();
            match result {
                Err(error) if heads(&store).len() == 1 => {
                    assert!(error.is_unreachable(), "{error}");
                    assert!(error.to_string().contains(&expected.to_string()), "{error}");
                }
                Err(AcceptError::AuditMissing { source, .. }) if source == expected => {
                    block_on(accept(&store, &document_with_rate(8, 5), "ada")).unwrap();
                    assert_eq!(store.keys("audit/").len(), 2);
                }
                Ok(_) => assert_eq!(heads(&store).len(), 2),
                other => panic!("{fault:?} at call {call}: {other:?}"),
            }
        }
    }
}

/// Guards against loading values that are damaged, missing or belong to another bundle.
#[test]
fn load_damaged_value_is_refused() {
    let store = store_with_accepted(&document(7));
    block_on(accept(&store, &document_with_rate(8, 5), "ada")).unwrap();
    let head = block_on(load_head(&store)).unwrap().unwrap().head;
    let load = || block_on(load_content(&store, &head)).map(|document| document.digest());
    let content = format!("bundle/content/{}/0", head.digest);
    store.overwrite(&content, document_with_rate(8, 6).canonical().as_bytes());
    assert_eq!(load(), Err(LoadError::Mismatch { version: 8 }));
    store.overwrite(&content, b"[bundle]");
    assert!(matches!(load(), Err(LoadError::Invalid { .. })));
    store.remove(&content);
    assert_eq!(load(), Err(LoadError::Missing { key: content }));

    let delta = store.keys("bundle/delta/8/").remove(0);
    let mut difference = block_on(load_differences(&store, &head, 7))
        .unwrap()
        .remove(0);
    difference.head.signatures.clear();
    let applied = difference.verify_and_apply(&document(7));
    assert!(matches!(applied, Err(LoadError::Signatures(_))));
    store.remove(&delta);
    let missing = block_on(load_differences(&store, &head, 7)).unwrap_err();
    assert_eq!(missing, LoadError::Missing { key: delta });
    store.overwrite(HEAD_KEY, b"{}");
    assert!(matches!(
        block_on(load_head(&store)),
        Err(LoadError::Malformed { .. })
    ));
}

/// Guards against applying a difference to a bundle that is not its predecessor.
#[test]
fn difference_applies_only_to_its_predecessor() {
    let store = store_with_accepted(&document(7));
    block_on(accept(&store, &document_with_rate(8, 5), "ada")).unwrap();
    block_on(accept(&store, &document_with_rate(9, 6), "ada")).unwrap();
    let head = block_on(load_head(&store)).unwrap().unwrap().head;
    let differences = block_on(load_differences(&store, &head, 7)).unwrap();
    assert_eq!(
        differences
            .iter()
            .map(|difference| difference.head.version)
            .collect::<Vec<_>>(),
        [8, 9]
    );
    let skipped = differences[1]
        .verify_and_apply(&document(7))
        .map(|new| new.version());
    assert_eq!(skipped, Err(LoadError::Mismatch { version: 9 }));
}

/// Guards against content that exceeds the store's size limit of a value.
#[test]
fn accept_large_bundle_is_split() {
    let mut text = bundle_text(7, 1);
    for index in 0..9_000 {
        let digest = format!("{index:064x}");
        text.push_str(&format!(
            "[key yard-key-{index}]\norganisation = yard\ndigest = {digest}\n"
        ));
    }
    let large = BundleDocument::read("bundle.ini", &text).unwrap();
    assert!(large.canonical().len() > 1_000_000);
    let store = store_with_accepted(&large);
    let head = block_on(load_head(&store)).unwrap().unwrap().head;
    assert_eq!(head.parts, 2);
    assert_eq!(
        block_on(load_content(&store, &head)).unwrap().digest(),
        large.digest()
    );
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::RequestLost),
        1 => Just(CallFault::ResponseLost),
        1 => Just(CallFault::Delayed),
        1 => Just(CallFault::RateExceeded),
        1 => Just(CallFault::Unreachable),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two accepted bundles of one version, and against a reported outcome that
    /// contradicts the store, while operators submit bundles concurrently and calls fail.
    #[test]
    fn accept_concurrent_bundles_succeeds_for_one_of_each_version(
        schedule in prop::collection::vec(0usize..4, 0..80),
        faults in prop::collection::vec(fault(), 0..60),
    ) {
        let store = store_with_accepted(&document(7));
        store.inject_faults(faults);
        // The last bundle has the next version, so an accepted bundle may be replaced.
        let bundles = [
            document_with_rate(8, 1),
            document_with_rate(8, 2),
            document_with_rate(8, 3),
            document_with_rate(9, 4),
        ];
        let operators = bundles
            .iter()
            .map(|bundle| -> Pin<Box<dyn Future<Output = _>>> {
                Box::pin(accept(&store, bundle, "ada"))
            })
            .collect();
        let results = interleave(operators, &schedule);
        store.apply_delayed_writes();

        let heads = heads(&store);
        for pair in heads.windows(2) {
            prop_assert_eq!(pair[1].version, pair[0].version + 1);
            prop_assert_eq!(pair[1].previous, Some(pair[0].digest));
        }
        for (bundle, result) in bundles.iter().zip(&results) {
            let was_accepted = heads.iter().any(|head| head.digest == bundle.digest());
            match result {
                Ok(_) | Err(AcceptError::AuditMissing { .. }) => prop_assert!(was_accepted),
                Err(AcceptError::OutcomeUnknown { .. }) => {}
                Err(error) => prop_assert!(!was_accepted, "{}", error),
            }
        }
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        prop_assert!(store.keys("audit/").len() > accepted);
        let mut current = document(7);
        let last = heads.last().unwrap();
        for difference in block_on(load_differences(&store, last, 7)).unwrap() {
            current = difference.verify_and_apply(&current).unwrap();
        }
        prop_assert_eq!(current.digest(), last.digest);
        prop_assert_eq!(block_on(load_content(&store, last)).unwrap().digest(), last.digest);
    }
}

/// Guards against two bundles of one version: the store came back from an older copy, and its head
/// is not the last one that was accepted.
#[test]
fn accept_waits_until_the_era_is_settled() {
    let store = store_with_accepted(&document(7));
    store.begin_era();
    let new = document_with_rate(8, 5);
    let error = block_on(accept(&store, &new, "ada")).unwrap_err();
    assert_eq!(error, AcceptError::StoreUnsettled { current: 7 });
    assert!(error.is_unreachable());
    assert_eq!(heads(&store).len(), 1);
    store.overwrite(&era_marker_key(1), b"settled");
    block_on(accept(&store, &new, "ada")).unwrap();
    assert_eq!(heads(&store).len(), 2);
}

/// Guards against a written-back bundle that readers cannot load or verify, and against one that
/// replaces a head which was accepted since.
#[test]
fn restored_bundle_is_complete_and_replaces_only_the_stale_head() {
    let (first, second) = (document(7), document_with_rate(8, 5));
    let complete = store_with_accepted(&first);
    block_on(accept(&complete, &second, "ada")).unwrap();
    let lost = block_on(load_head(&complete)).unwrap().unwrap().head;
    let store = store_with_accepted(&first);
    store.begin_era();
    let stale = block_on(load_head(&store)).unwrap().unwrap();
    let restore = || restore_bundle(&store, &lost, &second, Some(&stale), "lagos-1", 1);
    block_on(restore()).unwrap();
    let head = block_on(load_head(&store)).unwrap().unwrap();
    assert_eq!(head.head, lost);
    let content = block_on(load_content(&store, &head.head)).unwrap();
    assert_eq!(content.digest(), second.digest());
    let differences = block_on(load_differences(&store, &head.head, 7)).unwrap();
    assert!(differences[0].verify_and_apply(&first).is_ok());
    let key = format!("audit/{}", head.revision.fencing_number());
    let audit: AuditRecord = serde_json::from_slice(&store.value(&key).unwrap()).unwrap();
    let expected = AuditAction::BundleRestored {
        version: 8,
        digest: second.digest(),
    };
    assert_eq!((audit.who.as_str(), audit.action), ("lagos-1", expected));
    assert_eq!(block_on(restore()).unwrap_err(), StoreError::Conflict);
}
