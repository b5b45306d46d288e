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

/// Guards against a refund of tokens that would have overflowed if they had not been reserved.
#[test]
fn settle_refunds_at_most_the_minimum_headroom() {
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

/// Guards against a refund that ignores that the capacity was lowered, and raised again, while the
/// tokens were reserved.
#[test]
fn settle_limits_the_refund_to_a_lowered_capacity() {
    let mut bucket = LimitBucket::new(share(0, 100), 100 * TOKEN, millis(0));
    let number = bucket.reserve(80 * TOKEN).unwrap();
    bucket.set_share(share(0, 30));
    bucket.set_share(share(0, 100));
    assert_eq!(bucket.settle(number, 80 * TOKEN), 10 * TOKEN);
}

/// Guards against tokens that accrue twice when a clock reading is earlier than the previous one.
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

    /// Guards against rounding errors that add up over many small steps.
    #[test]
    fn advance_in_small_steps_accrues_exactly(steps in proptest::collection::vec(1_u64..5_000, 1..300), rate in 1_u64..10_000_000) {
        let share = LimitShare { rate, capacity: u64::MAX };
        let mut bucket = LimitBucket::new(share, 0, MonotonicTime(0));
        let mut now = 0;
        for step in steps {
            now += step;
            bucket.advance(MonotonicTime(now));
        }
        prop_assert_eq!(bucket.level(), rate * now);
    }

    /// Guards against a refund that differs from the simple reference: at most the minimum headroom
    /// since the reservation, less each refund of another reservation.
    #[test]
    fn settle_refund_matches_the_reference(events in proptest::collection::vec((0_u8..3, 0_u64..120), 1..80)) {
        let mut bucket = LimitBucket::new(share(100, 100), 100 * TOKEN, millis(0));
        let mut reservations: Vec<(u64, u64, u64)> = Vec::new();
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
                    reservations.push((number, amount, bucket.headroom()));
                }
                _ if !reservations.is_empty() => {
                    let (number, amount, min_headroom) = reservations.swap_remove(value as usize % reservations.len());
                    let refund = bucket.settle(number, amount);
                    prop_assert_eq!(refund, amount.min(min_headroom));
                    reservations.iter_mut().for_each(|entry| entry.2 = entry.2.saturating_sub(refund));
                }
                _ => {}
            }
            reservations.iter_mut().for_each(|entry| entry.2 = entry.2.min(bucket.headroom()));
        }
    }
}
