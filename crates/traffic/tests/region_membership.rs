//! Knowledge of an instance about the others of its region.

mod common;

use common::at;
use hawthornquay_traffic::RegionMembership;

/// A process that has just started took itself for the only instance of its region.
#[test]
fn is_settled_needs_own_entry_for_a_while() {
    let mut membership = RegionMembership::default();
    assert!(!membership.is_settled(at(0)));
    membership.record_list(at(100), false);
    membership.record_list(at(1_100), true);
    assert!(!membership.is_settled(at(1_200)));
    membership.record_list(at(2_100), true);
    assert!(!membership.is_settled(at(2_500)));
    assert!(membership.is_settled(at(2_600)));
}

/// An instance whose entry is gone is replaced by another, which it does not know of.
#[test]
fn is_settled_ends_with_own_entry() {
    let mut membership = RegionMembership::default();
    membership.record_list(at(0), true);
    membership.record_list(at(2_000), true);
    assert!(membership.is_settled(at(2_000)));
    membership.record_list(at(3_000), false);
    assert!(!membership.is_settled(at(3_000)));
    membership.record_list(at(4_000), true);
    assert!(!membership.is_settled(at(5_000)));
}

/// An instance that was paused or cut off acts on a list that the others no longer have.
#[test]
fn is_settled_needs_current_list() {
    let mut membership = RegionMembership::default();
    membership.confirm_list(at(0));
    assert!(!membership.is_settled(at(2_000)));
    membership.record_list(at(2_000), true);
    membership.confirm_list(at(4_000));
    assert!(membership.is_settled(at(6_500)));
    assert!(!membership.is_settled(at(6_600)));
}
