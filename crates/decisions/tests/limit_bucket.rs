//! Tests of the token bucket.

mod limit_fixture;

use hawthornquay_decisions::{LimitBucket, LimitShare, MonotonicTime};
use limit_fixture::millis;
use proptest::prelude::*;

const TOKEN: u64 = LimitShare::NANOTOKENS_PER_TOKEN;

fn share(tokens_per_s: u64, tokens: u64) -> LimitShare {
    LimitShare {
        rate: tokens_per_s * LimitShare::MILLITOKENS_PER_TOKEN,
        capacity: tokens * TOKEN,
    }
}

/// Guards against a refund that brings back capacity which overflowed while it was reserved.
#[test]
fn settle_refunds_at_most_the_least_headroom() {
    let mut bucket = LimitBucket::new(share(100, 100), 100 * TOKEN, millis(0));
    let first = bucket.reserve(50 * TOKEN).unwrap();
    bucket.advance(millis(400));
    let second = bucket.reserve(90 * TOKEN).unwrap();
    assert_eq!(bucket.settle(first, 50 * TOKEN), 10 * TOKEN);
    assert_eq!(bucket.settle(second, 0), 0);
    assert_eq!(bucket.level(), 10 * TOKEN);
}

/// Guards against two reservations that are both refunded into the same headroom.
#[test]
fn settle_shares_the_headroom_between_reservations() {
    let mut bucket = LimitBucket::new(share(100, 100), 100 * TOKEN, millis(0));
    let first = bucket.reserve(50 * TOKEN).unwrap();
    let second = bucket.reserve(50 * TOKEN).unwrap();
    bucket.advance(millis(900));
    let third = bucket.reserve(90 * TOKEN).unwrap();
    assert_eq!(bucket.settle(first, 50 * TOKEN), 10 * TOKEN);
    assert_eq!(bucket.settle(second, 50 * TOKEN), 0);
    assert_eq!(bucket.settle(third, 90 * TOKEN), 90 * TOKEN);
    assert_eq!(bucket.level(), 100 * TOKEN);
}

/// Guards against a capacity that is lowered and raised again while tokens are reserved.
#[test]
fn settle_counts_a_lowered_capacity() {
    let mut bucket = LimitBucket::new(share(0, 100), 100 * TOKEN, millis(0));
    let number = bucket.reserve(80 * TOKEN).unwrap();
    bucket.set_share(share(0, 30));
    bucket.set_share(share(0, 100));
    assert_eq!(bucket.settle(number, 80 * TOKEN), 10 * TOKEN);
}

/// Guards against a clock reading from before the last one, which must not accrue twice.
#[test]
fn advance_ignores_an_earlier_time() {
    let mut bucket = LimitBucket::new(share(10, 100), 0, millis(0));
    bucket.advance(millis(1_000));
    bucket.advance(millis(500));
    bucket.advance(millis(1_000));
    assert_eq!(bucket.level(), 10 * TOKEN);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against drift when a span is split into many small steps.
    #[test]
    fn advance_does_not_drift(steps in proptest::collection::vec(1_u64..5_000, 1..300), rate in 1_u64..10_000_000) {
        let share = LimitShare { rate, capacity: u64::MAX };
        let mut bucket = LimitBucket::new(share, 0, MonotonicTime(0));
        let mut now = 0;
        for step in steps {
            now += step;
            bucket.advance(MonotonicTime(now));
        }
        prop_assert_eq!(bucket.level(), rate * now);
    }

    /// Guards against a refund rule that differs from its definition: the least headroom since the
    /// reservation, lowered by each refund that another reservation got.
    #[test]
    fn settle_matches_the_definition(events in proptest::collection::vec((0_u8..3, 0_u64..120), 1..80)) {
        let mut bucket = LimitBucket::new(share(100, 100), 100 * TOKEN, millis(0));
        let mut open: Vec<(u64, u64, u64)> = Vec::new();
        let mut now = 0;
        for (kind, value) in events {
            match kind {
                0 => {
                    now += value * 10;
                    bucket.advance(millis(now));
                }
                1 => {
                    let amount = (value * TOKEN).min(bucket.level());
                    let number = bucket.reserve(amount).unwrap();
                    open.push((number, amount, bucket.headroom()));
                }
                _ if !open.is_empty() => {
                    let (number, amount, least) = open.swap_remove(value as usize % open.len());
                    let refund = bucket.settle(number, amount);
                    prop_assert_eq!(refund, amount.min(least));
                    open.iter_mut().for_each(|entry| entry.2 = entry.2.saturating_sub(refund));
                }
                _ => {}
            }
            open.iter_mut().for_each(|entry| entry.2 = entry.2.min(bucket.headroom()));
        }
    }
}
