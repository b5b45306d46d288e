//! Guards against callers that an overload turns away and that all return into it at once.

use std::time::Duration;

use hawthornquay_traffic::overload_retry_after;

const LEFT: Duration = Duration::from_secs(12);

#[test]
fn return_after_overload_is_spread_within_the_callers_patience() {
    let mut tenths = [0_u32; 10];
    for n in 0..1_000 {
        let after = overload_retry_after(Duration::ZERO, LEFT, &format!("r{n}"));
        assert!(after >= LEFT / 6 && after <= LEFT / 3, "{after:?}");
        let part = (after - LEFT / 6).as_secs_f64() / (LEFT / 6).as_secs_f64();
        tenths[((part * 10.0) as usize).min(9)] += 1;
    }
    // Twice the even part of each tenth.
    assert!(tenths.iter().all(|count| *count < 200), "{tenths:?}");
}

#[test]
fn return_after_is_never_before_an_answer_could_be_in_time() {
    let excess = Duration::from_secs(5);
    assert_eq!(overload_retry_after(excess, LEFT, "r1"), excess);
}
