//! Tests of the order of store revisions.

use hawthornquay_decisions::StoreRevision;

const fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era, revision }
}

/// Guards against a revision of the new history that counts as older than one of a lost history, and
/// against a fencing number that is lower than one given out before.
#[test]
fn revision_of_later_era_is_higher() {
    assert!(at(1, 3) > at(0, 900));
    assert!(at(1, 3).fencing_number() > at(0, 900).fencing_number());
    assert!(at(1, 4).fencing_number() > at(1, 3).fencing_number());
    assert_eq!(at(0, 900).fencing_number(), 900);
}
