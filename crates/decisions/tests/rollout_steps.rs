//! Steps of the rollout.
//!
//! Guards against instances that install a wrong bundle or stay on an old one.

use std::time::Duration;

use hawthornquay_decisions::{
    BundleId, MonotonicTime, Rollout, RolloutOffer, RolloutPeerAnswer, RolloutStartStep,
    RolloutStep, RolloutStoreAnswer,
};

fn bundle_id(version: u64) -> BundleId {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    BundleId { version, digest }
}

fn rollout_with(installed: u64) -> Rollout {
    let mut rollout = Rollout::new(MonotonicTime(0), 0);
    assert!(rollout.install(bundle_id(installed)));
    rollout
}

fn difference(from: u64, to: u64, verified: bool) -> RolloutOffer {
    RolloutOffer::Difference {
        from: bundle_id(from),
        to: bundle_id(to),
        verified,
    }
}

/// Guards against the installation of a bundle that is lower, unverified, or based on another
/// bundle than the installed one.
#[test]
fn rollout_offers_lead_to_expected_steps() {
    let content = |to, verified| RolloutOffer::Content {
        to: bundle_id(to),
        verified,
    };
    let head = |to| RolloutOffer::Head { to: bundle_id(to) };
    let fetch = |first, last| RolloutStep::FetchDifferences { first, last };
    let cases = [
        (difference(7, 8, true), RolloutStep::Install),
        (difference(7, 8, false), RolloutStep::IgnoreUnverified),
        (difference(6, 7, true), RolloutStep::IgnoreNotNewer),
        (difference(5, 6, true), RolloutStep::IgnoreNotNewer),
        (difference(8, 9, true), fetch(8, 9)),
        (difference(6, 8, true), fetch(8, 8)),
        (content(9, true), RolloutStep::Install),
        (content(9, false), RolloutStep::IgnoreUnverified),
        (content(7 + 16, false), RolloutStep::IgnoreUnverified),
        (content(7 + 17, false), fetch(8, 24)),
        (content(7, true), RolloutStep::IgnoreNotNewer),
        (content(6, true), RolloutStep::IgnoreNotNewer),
        (head(7), RolloutStep::IgnoreNotNewer),
        (head(10), fetch(8, 10)),
        (head(7 + 16), fetch(8, 23)),
        (head(7 + 17), RolloutStep::FetchContent { version: 24 }),
    ];
    for (offer, step) in cases {
        assert_eq!(rollout_with(7).decide(&offer), step, "{offer:?}");
    }
    let without_bundle = Rollout::new(MonotonicTime(0), 0);
    assert_eq!(
        without_bundle.decide(&head(3)),
        RolloutStep::FetchContent { version: 3 }
    );
    assert_eq!(
        without_bundle.decide(&content(3, false)),
        RolloutStep::IgnoreUnverified
    );
}

/// Guards against a difference that is applied to a bundle of the same version with another digest.
#[test]
fn rollout_difference_from_another_digest_is_not_installed() {
    let from = BundleId {
        version: 7,
        digest: [9; 32],
    };
    let offer = RolloutOffer::Difference {
        from,
        to: bundle_id(8),
        verified: true,
    };
    assert_ne!(rollout_with(7).decide(&offer), RolloutStep::Install);
}

/// Guards against a slow verification after which an older bundle replaces a newer one.
#[test]
fn rollout_late_install_is_refused() {
    let mut rollout = rollout_with(9);
    assert!(!rollout.install(bundle_id(8)));
    assert!(!rollout.install(BundleId {
        version: 9,
        digest: [1; 32]
    }));
    assert_eq!(rollout.installed(), Some(bundle_id(9)));
}

/// Guards against an instance that never reads the head although no watcher confirms it.
#[test]
fn rollout_without_confirmation_reads_the_head() {
    let mut rollout = rollout_with(7);
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_500)
    );
    rollout.confirm(
        bundle_id(7),
        Duration::ZERO,
        MonotonicTime::from_millis(1_000),
        499_999,
    );
    let expected = MonotonicTime::from_millis(2_500) + Duration::from_micros(499_999);
    assert_eq!(rollout.next_head_read_at(false), expected);
    rollout.record_head_read(MonotonicTime::from_millis(3_000), 0);
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(4_500)
    );
}

/// Guards against an own head read that is postponed for ever by confirmations of an older bundle,
/// or of a newer one that was not fetched.
#[test]
fn rollout_confirmation_of_another_bundle_is_ignored() {
    let mut rollout = rollout_with(7);
    rollout.confirm(
        bundle_id(6),
        Duration::ZERO,
        MonotonicTime::from_millis(1_000),
        0,
    );
    rollout.confirm(
        bundle_id(8),
        Duration::ZERO,
        MonotonicTime::from_millis(1_000),
        0,
    );
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_500)
    );
}

/// Guards against a watcher that has lost the store and keeps its region on an old bundle with
/// further confirmations.
#[test]
fn rollout_confirmation_counts_from_the_store_read() {
    let mut rollout = rollout_with(7);
    for now in [1_000, 2_000, 3_000] {
        let head_age = Duration::from_millis(now - 400);
        rollout.confirm(bundle_id(7), head_age, MonotonicTime::from_millis(now), 0);
    }
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_900)
    );
}

/// Guards against simultaneous head reads of all instances.
#[test]
fn rollout_head_reads_are_spread() {
    let at = |random| Rollout::new(MonotonicTime(0), random).next_head_read_at(false);
    assert_ne!(at(0), at(250_000));
    assert!(at(u64::MAX) < MonotonicTime::from_millis(2_000));
}

/// Guards against a watcher that relies on a watch that no longer reports changes.
#[test]
fn rollout_watcher_reads_the_head_each_second() {
    let mut rollout = rollout_with(7);
    rollout.record_head_read(MonotonicTime::from_millis(100), 0);
    rollout.confirm(
        bundle_id(7),
        Duration::ZERO,
        MonotonicTime::from_millis(900),
        0,
    );
    assert_eq!(
        rollout.next_head_read_at(true),
        MonotonicTime::from_millis(1_100)
    );
}

/// Guards against an instance that starts with an unverified or an old bundle.
#[test]
fn rollout_start_answers_lead_to_expected_steps() {
    use RolloutPeerAnswer::{Pending, Unavailable};
    use RolloutStoreAnswer as Store;
    let holds = |bundle, verified| RolloutPeerAnswer::Holds {
        bundle: bundle_id(bundle),
        verified,
    };
    let peer = |bundle| RolloutStartStep::InstallFromPeer(bundle_id(bundle));
    let store = |bundle| RolloutStartStep::InstallStoreHead(bundle_id(bundle));
    let cases = [
        (Store::Head(bundle_id(7)), vec![], 0, store(7)),
        (
            Store::Head(bundle_id(7)),
            vec![holds(6, true), Pending],
            0,
            store(7),
        ),
        (Store::Head(bundle_id(7)), vec![holds(8, true)], 0, peer(8)),
        (
            Store::Head(bundle_id(7)),
            vec![holds(8, false)],
            0,
            store(7),
        ),
        (
            Store::Pending,
            vec![holds(8, true)],
            9_000,
            RolloutStartStep::Wait,
        ),
        (Store::Unreachable, vec![], 9_000, RolloutStartStep::Wait),
        (
            Store::Unreachable,
            vec![holds(6, true), holds(8, true)],
            0,
            peer(8),
        ),
        (
            Store::Unreachable,
            vec![holds(6, true), holds(8, false)],
            0,
            peer(6),
        ),
        (
            Store::Unreachable,
            vec![holds(6, true), Pending],
            1_499,
            RolloutStartStep::Wait,
        ),
        (
            Store::Unreachable,
            vec![holds(6, true), Pending],
            1_500,
            peer(6),
        ),
        (
            Store::Unreachable,
            vec![holds(6, false), Unavailable],
            9_000,
            RolloutStartStep::Wait,
        ),
        (
            Store::NoBundle,
            vec![Unavailable],
            9_000,
            RolloutStartStep::Wait,
        ),
        (Store::NoBundle, vec![holds(6, true)], 0, peer(6)),
    ];
    for (answer, peers, waited_ms, expected) in cases {
        let found = RolloutStartStep::decide(answer, &peers, Duration::from_millis(waited_ms));
        assert_eq!(found, expected, "{answer:?} {peers:?} after {waited_ms} ms");
    }
}
