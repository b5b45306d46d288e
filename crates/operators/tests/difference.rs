//! Checks that a difference results in the bundle that was signed or is refused.

mod common;

use common::{bundle_text, document};
use hawthornquay_operators::{BundleDifference, BundleDocument, DifferenceError, SectionChange};
use proptest::prelude::*;

fn with_keys(version: u64, rate: u64, keys: &std::collections::BTreeSet<u8>) -> BundleDocument {
    let mut text = bundle_text(version, 1).replace("rate = 2000", &format!("rate = {rate}"));
    for key in keys {
        let digest = format!("{key:02x}").repeat(32);
        text.push_str(&format!(
            "[key extra-{key}]\norganisation = yard\ndigest = {digest}\n"
        ));
    }
    BundleDocument::read("bundle.ini", &text).unwrap()
}

proptest! {
    /// Guards against a difference whose text form does not give the new document.
    #[test]
    fn difference_applied_gives_the_new_document(
        old_keys in prop::collection::btree_set(0u8..100, 0..8),
        new_keys in prop::collection::btree_set(0u8..100, 0..8),
        old_rate in 1u64..4,
        new_rate in 1u64..4,
        step in 0u64..3,
    ) {
        let old = with_keys(7, old_rate, &old_keys);
        let new = with_keys(7 + step, new_rate, &new_keys);
        let text = new.difference_from(&old).to_string();
        let read: BundleDifference = text.parse().unwrap();
        prop_assert_eq!(&read, &new.difference_from(&old));
        let applied = read.apply(&old).unwrap();
        prop_assert_eq!(applied.digest(), new.digest());
        prop_assert_eq!(applied.bundle(), new.bundle());
    }

    /// Guards against damaged text that gives another document.
    #[test]
    fn difference_damaged_never_gives_another_document(at in 0usize..10_000, byte in 32u8..127) {
        let old = document(7);
        let new = with_keys(8, 5, &[3].into());
        let mut text = new.difference_from(&old).to_string().into_bytes();
        let at = at % text.len();
        text[at] = byte;
        let text = String::from_utf8(text).unwrap();
        if let Ok(applied) = text.parse::<BundleDifference>().and_then(|read| read.apply(&old)) {
            prop_assert_eq!(applied.digest(), new.digest());
        }
    }
}

/// Guards against a difference that does not list each changed section.
#[test]
fn difference_lists_each_changed_section() {
    let old = with_keys(7, 5, &[1, 2].into());
    let new = with_keys(8, 6, &[2, 3].into());
    let difference = new.difference_from(&old);
    let marks: Vec<_> = difference
        .changes
        .iter()
        .map(|(name, change)| (name.as_str(), change.mark()))
        .collect();
    let expected = [
        ("bundle", '~'),
        ("key extra-1", '-'),
        ("key extra-3", '+'),
        ("organisation yard", '~'),
    ];
    assert_eq!(marks, expected);
}

/// Guards against applying a difference to a document that it was not computed from.
#[test]
fn difference_applied_to_wrong_predecessor_is_refused() {
    let difference = document(9).difference_from(&document(8));
    let error = difference.apply(&document(7)).unwrap_err();
    assert_eq!(
        error,
        DifferenceError::WrongPredecessor {
            expected: 8,
            actual: 7
        }
    );
    let other = with_keys(8, 77, &[].into());
    assert!(matches!(
        difference.apply(&other),
        Err(DifferenceError::WrongPredecessor { .. })
    ));
}

/// Guards against accepting a manipulated change because the stated digest is unchanged.
#[test]
fn difference_manipulated_is_refused() {
    let old = document(7);
    let original = document(8).difference_from(&old);
    let mut changed = original.clone();
    let body = "burst = 20000\nrate = 9999\nresidency = lagos, kano\n".to_owned();
    changed
        .changes
        .insert("organisation yard".into(), SectionChange::Changed { body });
    assert!(matches!(
        changed.apply(&old),
        Err(DifferenceError::DigestMismatch { .. })
    ));
    let mut absent = original.clone();
    absent
        .changes
        .insert("key nobody".into(), SectionChange::Removed);
    assert!(matches!(
        absent.apply(&old),
        Err(DifferenceError::SectionMismatch { .. })
    ));
    let mut broken = original;
    broken
        .changes
        .insert("region lagos".into(), SectionChange::Removed);
    assert!(matches!(
        broken.apply(&old),
        Err(DifferenceError::InvalidResult(_))
    ));
}

/// Guards against text that is not a difference.
#[test]
fn difference_malformed_text_is_refused() {
    let valid = document(8).difference_from(&document(7)).to_string();
    for text in [
        "",
        "difference",
        "difference 1 2 3 4",
        &valid.replace("~ [", "? ["),
        &valid.replace("~ [", "- ["),
    ] {
        assert!(matches!(
            text.parse::<BundleDifference>(),
            Err(DifferenceError::Malformed { .. })
        ));
    }
}
