//! Guards against instances that move to a wrong bundle, or stay on an old one.

use std::time::Duration;

use hawthornquay_decisions::{
    BundleId, MonotonicTime, Rollout, RolloutOffer, RolloutPeerAnswer, RolloutStartStep,
    RolloutStep, RolloutStoreAnswer,
};

fn version(version: u64) -> BundleId {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    BundleId { version, digest }
}

fn holding(held: u64) -> Rollout {
    let mut rollout = Rollout::new(MonotonicTime(0), 0);
    assert!(rollout.install(version(held)));
    rollout
}

fn difference(from: u64, to: u64, verified: bool) -> RolloutOffer {
    RolloutOffer::Difference {
        from: version(from),
        to: version(to),
        verified,
    }
}

/// Guards against lower, unverified or wrongly based offers being installed.
#[test]
fn rollout_offer_table() {
    let content = |to, verified| RolloutOffer::Content {
        to: version(to),
        verified,
    };
    let head = |to| RolloutOffer::Head { to: version(to) };
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
        assert_eq!(holding(7).decide(&offer), step, "{offer:?}");
    }
    let fresh = Rollout::new(MonotonicTime(0), 0);
    assert_eq!(
        fresh.decide(&head(3)),
        RolloutStep::FetchContent { version: 3 }
    );
    assert_eq!(
        fresh.decide(&content(3, false)),
        RolloutStep::IgnoreUnverified
    );
}

/// Guards against a difference that is applied to another bundle of the same version.
#[test]
fn rollout_difference_from_another_digest_is_not_installed() {
    let from = BundleId {
        version: 7,
        digest: [9; 32],
    };
    let offer = RolloutOffer::Difference {
        from,
        to: version(8),
        verified: true,
    };
    assert_ne!(holding(7).decide(&offer), RolloutStep::Install);
}

/// Guards against a slow check that overwrites a newer bundle.
#[test]
fn rollout_late_install_is_refused() {
    let mut rollout = holding(9);
    assert!(!rollout.install(version(8)));
    assert!(!rollout.install(BundleId {
        version: 9,
        digest: [1; 32]
    }));
    assert_eq!(rollout.installed(), Some(version(9)));
}

/// Guards against an instance that never reads the head when its watchers are silent.
#[test]
fn rollout_silent_watchers_lead_to_a_read() {
    let mut rollout = holding(7);
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_500)
    );
    rollout.confirm(
        version(7),
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

/// Guards against a lagging or unfetched confirmation that postpones the own read for ever.
#[test]
fn rollout_confirmation_of_another_bundle_does_not_count() {
    let mut rollout = holding(7);
    rollout.confirm(
        version(6),
        Duration::ZERO,
        MonotonicTime::from_millis(1_000),
        0,
    );
    rollout.confirm(
        version(8),
        Duration::ZERO,
        MonotonicTime::from_millis(1_000),
        0,
    );
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_500)
    );
}

/// Guards against a watcher without the store that keeps its region on an old bundle.
#[test]
fn rollout_confirmation_counts_from_when_the_store_was_heard() {
    let mut rollout = holding(7);
    for now in [1_000, 2_000, 3_000] {
        let heard_ago = Duration::from_millis(now - 400);
        rollout.confirm(version(7), heard_ago, MonotonicTime::from_millis(now), 0);
    }
    assert_eq!(
        rollout.next_head_read_at(false),
        MonotonicTime::from_millis(1_900)
    );
}

/// Guards against reads of all instances at one moment.
#[test]
fn rollout_reads_are_spread() {
    let at = |random| Rollout::new(MonotonicTime(0), random).next_head_read_at(false);
    assert_ne!(at(0), at(250_000));
    assert!(at(u64::MAX) < MonotonicTime::from_millis(2_000));
}

/// Guards against a watcher that trusts a watch which went silent.
#[test]
fn rollout_watcher_reads_each_second() {
    let mut rollout = holding(7);
    rollout.record_head_read(MonotonicTime::from_millis(100), 0);
    rollout.confirm(
        version(7),
        Duration::ZERO,
        MonotonicTime::from_millis(900),
        0,
    );
    assert_eq!(
        rollout.next_head_read_at(true),
        MonotonicTime::from_millis(1_100)
    );
}

/// Guards against a fresh instance that serves with an unverified or an old bundle.
#[test]
fn rollout_fresh_instance_table() {
    use RolloutPeerAnswer::{Pending, Unavailable};
    use RolloutStoreAnswer as Store;
    let holds = |held, verified| RolloutPeerAnswer::Holds {
        bundle: version(held),
        verified,
    };
    let peer = |held| RolloutStartStep::InstallFromPeer(version(held));
    let store = |held| RolloutStartStep::InstallStoreHead(version(held));
    let cases = [
        (Store::Head(version(7)), vec![], 0, store(7)),
        (
            Store::Head(version(7)),
            vec![holds(6, true), Pending],
            0,
            store(7),
        ),
        (Store::Head(version(7)), vec![holds(8, true)], 0, peer(8)),
        (Store::Head(version(7)), vec![holds(8, false)], 0, store(7)),
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
    for (answer, peers, waited, expected) in cases {
        let found = RolloutStartStep::decide(answer, &peers, Duration::from_millis(waited));
        assert_eq!(found, expected, "{answer:?} {peers:?} {waited}");
    }
}
