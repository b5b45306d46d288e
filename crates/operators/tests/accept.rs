//! Guards against bundles that are lost, accepted twice, or reported wrongly.

mod common;

use std::{future::Future, pin::Pin};

use common::{
    bundle_text, document,
    fake_store::{CallFault, FakeStore, interleave, run},
    key,
};
use hawthornquay_operators::{
    AcceptError, AcceptRequest, AcceptedBundle, AuditAction, AuditRecord, BundleDocument,
    BundleHead, BundleSignature, HEAD_KEY, LoadError, OperatorKey, SignatureError, StoreError,
    accept_bundle, load_content, load_differences, load_head,
};
use proptest::prelude::*;

fn with_rate(version: u64, rate: u64) -> BundleDocument {
    let text = bundle_text(version, 1).replace("rate = 2000", &format!("rate = {rate}"));
    BundleDocument::read("bundle.ini", &text).unwrap()
}

fn signed(document: &BundleDocument) -> Vec<BundleSignature> {
    vec![key(0).sign("ada", document.version(), &document.digest())]
}

async fn accept(
    store: &FakeStore,
    document: &BundleDocument,
    who: &str,
) -> Result<AcceptedBundle, AcceptError> {
    let signatures = signed(document);
    let request = AcceptRequest {
        document,
        signatures: &signatures,
        first_trust: None,
        who,
        when_ms: 1_000,
    };
    accept_bundle(store, &request).await
}

fn store_with(document: &BundleDocument) -> FakeStore {
    let store = FakeStore::default();
    run(accept(&store, document, "ada")).unwrap();
    store
}

fn heads(store: &FakeStore) -> Vec<BundleHead> {
    store
        .heads()
        .iter()
        .map(|value| serde_json::from_slice(value).unwrap())
        .collect()
}

/// Guards against a store that fills with the content of versions which nobody reads any more.
#[test]
fn accept_many_versions_keep_the_content_of_two() {
    let store = store_with(&document(7));
    for version in 8..20 {
        run(accept(&store, &with_rate(version, version), "ada")).unwrap();
        let head = run(load_head(&store)).unwrap().unwrap().head;
        assert!(run(load_content(&store, &head)).is_ok());
    }
    assert_eq!(store.keys("bundle/content/").len(), 2);
}

/// Guards against a head whose content, difference or audit record is missing.
#[test]
fn accept_stores_everything_that_the_head_names() {
    let store = store_with(&document(7));
    let new = with_rate(8, 5);
    let accepted = run(accept(&store, &new, "ada")).unwrap();
    let head = run(load_head(&store)).unwrap().unwrap();
    assert_eq!(
        (head.head.version, Some(head.revision)),
        (8, accepted.revision)
    );
    assert_eq!(
        run(load_content(&store, &head.head)).unwrap().bundle(),
        new.bundle()
    );
    let differences = run(load_differences(&store, &head.head, 7)).unwrap();
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

fn changes(store: &FakeStore, revision: u64) -> serde_json::Value {
    let audit = store.value(&format!("audit/{revision}")).unwrap();
    let audit: serde_json::Value = serde_json::from_slice(&audit).unwrap();
    audit["changes"].clone()
}

/// Guards against an audit trail that hides what a bundle changed, or names an organisation.
#[test]
fn accept_audit_counts_the_changes_by_kind() {
    let store = store_with(&document(7));
    let first = run(load_head(&store)).unwrap().unwrap().revision;
    assert_eq!(changes(&store, first)["signer"]["added"], 2);
    let signer = OperatorKey::generate().unwrap().public_base64();
    let text = bundle_text(8, 1)
        .replace("rate = 2000", "rate = 5")
        .replace("[key yard-1]", "[key yard-2]")
        .replace("key_salt", &format!("signer.new = {signer}\nkey_salt"));
    let new = BundleDocument::read("bundle.ini", &text).unwrap();
    let accepted = run(accept(&store, &new, "ada")).unwrap();
    let revision = accepted.revision.unwrap();
    let expected = serde_json::json!({
        "key": {"added": 1, "changed": 0, "removed": 1},
        "organisation": {"added": 0, "changed": 1, "removed": 0},
        "signer": {"added": 1, "changed": 0, "removed": 0},
    });
    assert_eq!(changes(&store, revision), expected);
    let audit = store.value(&format!("audit/{revision}")).unwrap();
    assert!(!String::from_utf8(audit).unwrap().contains("yard"));

    // A record that a second run writes holds the same.
    store.remove(&format!("audit/{revision}"));
    assert!(run(accept(&store, &new, "bola")).unwrap().was_in_force);
    assert_eq!(changes(&store, revision), expected);
}

/// Guards against trails that older versions wrote and this one refuses.
#[test]
fn accept_old_audit_record_is_read() {
    let old = serde_json::json!({"who": "ada", "what": "bundle-accepted", "version": 7,
        "digest": "07".repeat(32), "when_ms": 1});
    let record: AuditRecord = serde_json::from_value(old).unwrap();
    let AuditAction::BundleAccepted { changes, .. } = record.action else {
        panic!("{record:?}");
    };
    assert_eq!(changes, None);
}

/// Guards against a bundle in force that its predecessor's signers did not sign.
#[test]
fn accept_unsigned_changes_nothing() {
    let store = store_with(&document(7));
    let new = with_rate(8, 5);
    let cases = [
        vec![],
        signed(&with_rate(8, 6)),
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
        let error = run(accept_bundle(&store, &request)).unwrap_err();
        assert!(matches!(
            error,
            AcceptError::Signatures(SignatureError::TooFew { .. })
        ));
    }
    assert_eq!((heads(&store).len(), store.keys("audit/").len()), (1, 1));
}

/// Guards against a first bundle that the settings' signers did not sign.
#[test]
fn accept_first_bundle_is_checked_against_the_given_trust() {
    let stranger = hawthornquay_operators::OperatorKey::generate().unwrap();
    let settings =
        common::settings_text().replace(&key(0).public_base64(), &stranger.public_base64());
    let settings = hawthornquay_operators::DaemonSettings::read("d.ini", &settings).unwrap();
    let (store, first) = (FakeStore::default(), document(7));
    let signatures = signed(&first);
    let request = AcceptRequest {
        document: &first,
        signatures: &signatures,
        first_trust: Some(&settings.trust),
        who: "ada",
        when_ms: 1,
    };
    let error = run(accept_bundle(&store, &request)).unwrap_err();
    assert!(matches!(error, AcceptError::Signatures(_)));
    assert!(heads(&store).is_empty());
}

/// Guards against a version that does not follow the one in force.
#[test]
fn accept_gap_is_refused() {
    let store = store_with(&document(7));
    let error = run(accept(&store, &document(9), "ada")).unwrap_err();
    assert_eq!(
        error,
        AcceptError::VersionGap {
            version: 9,
            current: 7
        }
    );
    assert_eq!(heads(&store).len(), 1);
}

/// Guards against a loser who is not told what came first.
#[test]
fn accept_loser_gets_the_difference() {
    let store = store_with(&document(7));
    run(accept(&store, &with_rate(8, 5), "ada")).unwrap();
    let AcceptError::Conflict(lost) = run(accept(&store, &with_rate(8, 6), "bola")).unwrap_err()
    else {
        panic!("the second operator must lose");
    };
    assert_eq!(lost.current.version, 8);
    assert_eq!(
        lost.difference.apply(&with_rate(8, 6)).unwrap().digest(),
        with_rate(8, 5).digest()
    );
    assert!(
        lost.difference
            .to_string()
            .contains("~ [organisation yard]\nburst = 20000\nrate = 5\n")
    );
}

/// Guards against a repeated command that fails, or leaves a second audit record.
#[test]
fn accept_again_changes_nothing() {
    let store = store_with(&document(7));
    let again = run(accept(&store, &document(7), "bola")).unwrap();
    assert!(again.was_in_force);
    assert_eq!((heads(&store).len(), store.keys("audit/").len()), (1, 1));
}

/// Guards against success or failure claimed after a lost answer, whatever call it hits.
#[test]
fn accept_survives_one_lost_answer_at_each_call() {
    for fault in [
        CallFault::LostBefore,
        CallFault::LostAfter,
        CallFault::Delayed,
    ] {
        for call in 0..12 {
            let store = store_with(&document(7));
            let mut script = vec![CallFault::None; call];
            script.push(fault);
            store.script(script);
            let accepted = run(accept(&store, &with_rate(8, 5), "ada"));
            assert!(accepted.is_ok(), "{fault:?} at call {call}: {accepted:?}");
            store.settle();
            assert_eq!(heads(&store).len(), 2, "{fault:?} at call {call}");
        }
    }
}

/// Guards against an operator who is told to have lost, although the bundle was accepted and then
/// followed by another one before the head could be read back.
#[test]
fn accept_followed_before_the_read_back_is_accepted() {
    let store = store_with(&document(7));
    let (own, next) = (with_rate(8, 5), with_rate(9, 6));
    let mut script = vec![CallFault::None; 4];
    script.push(CallFault::LostAfter);
    store.script(script);
    let operators: Vec<Pin<Box<dyn Future<Output = _>>>> = vec![
        Box::pin(accept(&store, &own, "ada")),
        Box::pin(accept(&store, &next, "bola")),
    ];
    // The first operator writes the head in its sixth turn; the second then runs to its end.
    let schedule: Vec<usize> = [vec![0; 6], vec![1; 40]].concat();
    let results = interleave(operators, &schedule);
    assert_eq!(heads(&store).last().unwrap().version, 9);
    assert_eq!(results[0].as_ref().unwrap().revision, None);
    assert!(results[1].is_ok());
    assert_eq!(store.keys("audit/").len(), 3);
}

/// Guards against an outage or refusal reported as acceptance, an exceeded rate reported as an
/// outage, or a half-written bundle in force.
#[test]
fn accept_without_the_store_is_refused() {
    let cases = [
        (CallFault::Unreachable, StoreError::Unreachable),
        (CallFault::RateExceeded, StoreError::RateExceeded),
    ];
    for (fault, expected) in cases {
        for call in 0..8 {
            let store = store_with(&document(7));
            let mut script = vec![CallFault::None; call];
            script.extend([fault; 20]);
            store.script(script);
            let result = run(accept(&store, &with_rate(8, 5), "ada"));
            store.settle();
            match result {
                Err(error) if heads(&store).len() == 1 => {
                    assert!(error.is_unreachable(), "{error}");
                    assert!(error.to_string().contains(&expected.to_string()), "{error}");
                }
                Err(AcceptError::AuditMissing { source, .. }) if source == expected => {
                    run(accept(&store, &with_rate(8, 5), "ada")).unwrap();
                    assert_eq!(store.keys("audit/").len(), 2);
                }
                Ok(_) => assert_eq!(heads(&store).len(), 2),
                other => panic!("{fault:?} at call {call}: {other:?}"),
            }
        }
    }
}

/// Guards against damaged, missing or exchanged values that are taken over.
#[test]
fn accept_damaged_values_are_refused() {
    let store = store_with(&document(7));
    run(accept(&store, &with_rate(8, 5), "ada")).unwrap();
    let head = run(load_head(&store)).unwrap().unwrap().head;
    let load = || run(load_content(&store, &head)).map(|document| document.digest());
    let content = format!("bundle/content/{}/0", head.digest);
    store.overwrite(&content, with_rate(8, 6).canonical().as_bytes());
    assert_eq!(load(), Err(LoadError::Mismatch { version: 8 }));
    store.overwrite(&content, b"[bundle]");
    assert!(matches!(load(), Err(LoadError::Invalid { .. })));
    store.remove(&content);
    assert_eq!(load(), Err(LoadError::Missing { key: content }));

    let delta = store.keys("bundle/delta/8/").remove(0);
    let mut difference = run(load_differences(&store, &head, 7)).unwrap().remove(0);
    difference.head.signatures.clear();
    let applied = difference.verify_and_apply(&document(7));
    assert!(matches!(applied, Err(LoadError::Signatures(_))));
    store.remove(&delta);
    let missing = run(load_differences(&store, &head, 7)).unwrap_err();
    assert_eq!(missing, LoadError::Missing { key: delta });
    store.overwrite(HEAD_KEY, b"{}");
    assert!(matches!(
        run(load_head(&store)),
        Err(LoadError::Malformed { .. })
    ));
}

/// Guards against a difference that leads around a version.
#[test]
fn accept_difference_applies_only_to_its_predecessor() {
    let store = store_with(&document(7));
    run(accept(&store, &with_rate(8, 5), "ada")).unwrap();
    run(accept(&store, &with_rate(9, 6), "ada")).unwrap();
    let head = run(load_head(&store)).unwrap().unwrap().head;
    let differences = run(load_differences(&store, &head, 7)).unwrap();
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

/// Guards against content over the store's limit for one value.
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
    let store = store_with(&large);
    let head = run(load_head(&store)).unwrap().unwrap().head;
    assert_eq!(head.parts, 2);
    assert_eq!(
        run(load_content(&store, &head)).unwrap().digest(),
        large.digest()
    );
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::LostBefore),
        1 => Just(CallFault::LostAfter),
        1 => Just(CallFault::Delayed),
        1 => Just(CallFault::RateExceeded),
        1 => Just(CallFault::Unreachable),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two winners of one version, and against a result that differs from what the
    /// store holds, with operators that race while answers are lost.
    #[test]
    fn accept_races_have_one_winner_and_truthful_results(
        schedule in prop::collection::vec(0usize..4, 0..80),
        faults in prop::collection::vec(fault(), 0..60),
    ) {
        let store = store_with(&document(7));
        store.script(faults);
        // The last operator builds on the first one's bundle, so a winner may be followed.
        let bundles = [with_rate(8, 1), with_rate(8, 2), with_rate(8, 3), with_rate(9, 4)];
        let operators = bundles
            .iter()
            .map(|bundle| -> Pin<Box<dyn Future<Output = _>>> {
                Box::pin(accept(&store, bundle, "ada"))
            })
            .collect();
        let results = interleave(operators, &schedule);
        store.settle();

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
        let mut held = document(7);
        let last = heads.last().unwrap();
        for difference in run(load_differences(&store, last, 7)).unwrap() {
            held = difference.verify_and_apply(&held).unwrap();
        }
        prop_assert_eq!(held.digest(), last.digest);
        prop_assert_eq!(run(load_content(&store, last)).unwrap().digest(), last.digest);
    }
}
