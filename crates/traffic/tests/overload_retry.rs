//! Retry delay after an overload: refused callers must not all retry at the same time.

use std::time::Duration;

use hawthornquay_traffic::overload_retry_after;

const TIME_LEFT: Duration = Duration::from_secs(12);

#[test]
fn overload_retry_after_spreads_retries_over_second_half_of_longest_delay() {
    let mut counts = [0_u32; 10];
    for n in 0..1_000 {
        let after = overload_retry_after(Duration::ZERO, TIME_LEFT, &format!("r{n}"));
        assert!(
            after >= TIME_LEFT / 6 && after <= TIME_LEFT / 3,
            "{after:?}"
        );
        let position = (after - TIME_LEFT / 6).as_secs_f64() / (TIME_LEFT / 6).as_secs_f64();
        counts[((position * 10.0) as usize).min(9)] += 1;
    }
    // No tenth of the range may get twice its even share of the 1,000 retries.
    assert!(counts.iter().all(|count| *count < 200), "{counts:?}");
}

#[test]
fn overload_retry_after_is_at_least_the_excess() {
    let excess = Duration::from_secs(5);
    assert_eq!(overload_retry_after(excess, TIME_LEFT, "r1"), excess);
}
