//! Tests of the recovery of a store that came back from an older copy.

use hawthornquay_decisions::{EraCheckStep, EraRecovery};

/// Guards against an era that counts as settled before other instances had time to write back, and
/// against one that is never settled.
#[test]
fn era_is_settled_by_its_marker_only() {
    let mut recovery = EraRecovery::default();
    assert!(recovery.is_settled());
    assert!(recovery.observe(1));
    assert!(!recovery.is_settled() && !recovery.is_checked());
    for _ in 0..30 {
        assert_eq!(recovery.record_check(1, false), EraCheckStep::Wait);
    }
    assert!(recovery.is_checked());
    assert_eq!(recovery.record_check(1, false), EraCheckStep::WriteMarker);
    assert!(!recovery.is_settled(), "the marker is not confirmed");
    recovery.record_check(1, true);
    assert!(recovery.is_settled());
}

/// Guards against a response about an earlier era that settles the present one.
#[test]
fn marker_of_earlier_era_is_ignored() {
    let mut recovery = EraRecovery::default();
    recovery.observe(1);
    recovery.observe(2);
    assert!(!recovery.observe(1));
    recovery.record_check(1, true);
    assert_eq!((recovery.era(), recovery.is_settled()), (2, false));
}
