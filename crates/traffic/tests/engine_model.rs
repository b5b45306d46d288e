//! Pace, prefill rate and event rate, as learned from statements and responses of engines.

mod common;

use common::at;
use hawthornquay_traffic::{EventRate, PrefillRate, ServerPace, ServiceStreams};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time between two statements, which is much shorter than that in which one loses its weight.
const STATEMENT_MS: u64 = 100;

/// Records statements, one each [`STATEMENT_MS`]; returns the time of the last one.
fn state(pace: &mut ServerPace, from_ms: u64, percents: &[u32]) -> u64 {
    for (n, percent) in percents.iter().enumerate() {
        pace.record(at(from_ms + n as u64 * STATEMENT_MS), *percent);
    }
    from_ms + (percents.len() as u64 - 1) * STATEMENT_MS
}

#[track_caller]
fn assert_near(found: f64, expected: f64, tolerance: f64) {
    assert!(
        (found - expected).abs() <= tolerance,
        "{found} instead of {expected}"
    );
}

/// Guards against a pace other than 1 of servers that state none, whose choice must stay as it was.
#[test]
fn pace_unstated_is_one() {
    let pace = ServerPace::default();
    assert!(!pace.is_stated());
    assert_near(pace.usual(at(1_000)), 1.0, 0.0);
    assert_near(pace.expected(at(0)), 1.0, 0.0);
}

/// Guards against a mean in place of the median: a disturbance of some tenths of a second would then
/// keep long streams from a fast server.
#[test]
fn usual_pace_short_disturbance_changes_nothing() {
    let mut pace = ServerPace::default();
    let last = state(&mut pace, 0, &[100, 90, 110, 100, 95, 105, 100, 90, 110]);
    assert_near(pace.usual(at(1_000)), 1.0, 0.05);
    state(&mut pace, last + STATEMENT_MS, &[400; 4]);
    let usual = pace.usual(at(1_000));
    assert!((0.9..=1.1).contains(&usual), "{usual}");
}

/// Guards against a usual pace that never changes, or only after many statements.
#[test]
fn usual_pace_lasting_change_is_taken_over() {
    let mut pace = ServerPace::default();
    let last = state(&mut pace, 0, &[100; 9]);
    state(&mut pace, last + STATEMENT_MS, &[250; 5]);
    assert_near(pace.usual(at(1_000)), 2.5, 0.0);
}

/// Guards against a fresh statement that is not used, and against an old one that still is.
#[test]
fn expected_pace_statement_counts_and_fades() {
    let mut pace = ServerPace::default();
    let last = state(&mut pace, 0, &[100, 100, 100, 100, 100, 100, 100, 100, 300]);
    assert_near(pace.expected(at(last)), 3.0, 1e-9);
    let after_500_ms = pace.expected(at(last + 500));
    assert!((1.5..=2.0).contains(&after_500_ms), "{after_500_ms}");
    assert_near(pace.expected(at(last + 5_000)), 1.0, 1e-3);
    let mut previous = pace.expected(at(last));
    for ms in (100..=2_000).step_by(100) {
        let expected = pace.expected(at(last + ms));
        assert!(expected < previous, "{expected} at {ms} ms");
        previous = expected;
    }
}

/// Guards against a statement that makes predictions zero, infinite or absurd.
#[test]
fn record_implausible_pace_is_ignored() {
    let mut pace = ServerPace::default();
    for percent in [0, 1, 4, 5_001, 1_000_000, u32::MAX] {
        pace.record(at(0), percent);
        assert!(!pace.is_stated(), "{percent}");
    }
    state(&mut pace, 0, &[120; 3]);
    for percent in [0, 4, 5_001, u32::MAX] {
        pace.record(at(400), percent);
    }
    assert_near(pace.usual(at(1_000)), 1.2, 0.0);
    assert_eq!(pace.age(at(400)).as_millis(), 200);
}

/// Guards against a pace that stays wrong after a server has stated nonsense.
#[test]
fn usual_pace_recovers_from_false_statements() {
    let mut rng = StdRng::seed_from_u64(11);
    for lies in [vec![5; 50], vec![5_000; 50]]
        .into_iter()
        .chain([(0..50).map(|_| rng.random_range(5..=5_000)).collect()])
    {
        let mut pace = ServerPace::default();
        let last = state(&mut pace, 0, &lies);
        for ms in [0, 100, 1_000, 100_000] {
            let expected = pace.expected(at(last + ms));
            assert!((0.05..=50.0).contains(&expected), "{expected}");
        }
        let last = state(&mut pace, last + STATEMENT_MS, &[100; 9]);
        assert_near(pace.usual(at(1_000)), 1.0, 0.0);
        assert_near(pace.expected(at(last)), 1.0, 0.0);
    }
}

/// Guards against a rate that stays at the default of the first engines: a cache miss would weigh too
/// much or too little against a queue at all others.
#[test]
fn prefill_rate_noisy_responses_converges() {
    for (tokens_per_ms, base_ms) in [(61.8, 40.0), (140.0, 30.0)] {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut rate = PrefillRate::default();
            for _ in 0..1_000 {
                let tokens = rng.random_range(500.0..15_000.0);
                let noise = rng.random_range(0.8..1.2);
                rate.observe(tokens, (base_ms + tokens / tokens_per_ms) * noise);
            }
            let found = rate.tokens_per_ms();
            assert_near(found / tokens_per_ms, 1.0, 0.1);
            assert_near(rate.base_ms(), base_ms, 20.0);
        }
    }
}

/// Guards against predictions that are zero, negative or no number after absurd measurements.
#[test]
fn prefill_rate_absurd_responses_stays_in_range() {
    let absurd = [
        (0.0, 0.0),
        (0.0, 1e9),
        (1e9, 0.0),
        (1e9, 1e9),
        (12_000.0, 1e7),
        (1.0, 1e-9),
        (12_000.0, 0.0),
    ];
    let mut rng = StdRng::seed_from_u64(3);
    let mut rate = PrefillRate::default();
    for _ in 0..2_000 {
        let (tokens, ms) = absurd[rng.random_range(0..absurd.len())];
        rate.observe(tokens, ms);
        let (found, base_ms) = (rate.tokens_per_ms(), rate.base_ms());
        // The bounds are reciprocals, so the last digit may differ.
        assert!((4.999..=2_000.001).contains(&found), "{found}");
        assert!((5.0..=500.0).contains(&base_ms), "{base_ms}");
    }
}

/// Guards against prompts of one length, from which no rate follows, that change the rate to a bound.
#[test]
fn prefill_rate_equal_prompts_predicts_their_time() {
    let mut rate = PrefillRate::default();
    for _ in 0..2_000 {
        rate.observe(6_000.0, 140.0);
    }
    let predicted = rate.base_ms() + 6_000.0 / rate.tokens_per_ms();
    assert_near(predicted, 140.0, 5.0);
}

/// Guards against a rate that does not show a saturated engine within a second, or shows it for seconds
/// after its streams have become fast.
#[test]
fn event_rate_follows_saturated_engine_and_recovers() {
    let mut rate = EventRate::default();
    for n in 0..40 {
        rate.record(at(n * 50), 1.0, 50.0);
    }
    assert_near(rate.interval_ms(at(2_000), 50.0), 50.0, 1e-6);
    for n in 1..=6 {
        rate.record(at(2_000 + n * 400), 1.0, 400.0);
    }
    let saturated = rate.interval_ms(at(4_400), 50.0);
    assert!(saturated > 130.0, "{saturated}");
    for n in 1..=60 {
        rate.record(at(4_400 + n * 50), 1.0, 50.0);
    }
    let recovered = rate.interval_ms(at(7_400), 50.0);
    assert!(recovered < 70.0, "{recovered}");
}

/// Guards against a server without streams for seconds that keeps the rate of its last ones.
#[test]
fn event_rate_without_events_returns_to_that_of_service() {
    let mut rate = EventRate::default();
    for n in 0..20 {
        rate.record(at(n * 400), 1.0, 400.0);
    }
    assert!(rate.interval_ms(at(8_000), 50.0) > 150.0);
    assert_near(rate.interval_ms(at(30_000), 50.0), 50.0, 0.1);
    assert_eq!(rate.recent_ms(at(30_000)), None);
}

/// Guards against a number of events that is learned from one odd stream, or not at all.
#[test]
fn expected_events_follow_complete_streams() {
    let mut streams = ServiceStreams::default();
    assert_eq!(streams.expected_events(378), None);
    for _ in 0..200 {
        streams.record_complete(42, 378);
    }
    streams.record_complete(1, 378);
    assert_near(streams.expected_events(378).unwrap(), 42.0, 1.0);
    streams.record_complete(42, 0);
    let events = streams.expected_events(378).unwrap();
    assert!(events.is_finite(), "{events}");
}

/// Guards against a slow server whose streams make those of the others look slow.
#[test]
fn service_interval_is_that_of_pace_one() {
    let mut streams = ServiceStreams::default();
    for n in 0..40 {
        streams.record(at(n * 50), 1.0, 60.0, 1.0);
        streams.record(at(n * 50), 1.0, 180.0, 3.0);
    }
    assert_near(streams.interval_ms(1.0).unwrap(), 60.0, 1e-6);
    assert_near(streams.interval_ms(3.0).unwrap(), 180.0, 1e-6);
}
