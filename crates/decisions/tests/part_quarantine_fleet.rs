//! Quarantine of prompt parts in a simulated fleet.

mod quarantine_fleet;

use quarantine_fleet::{Deadly, Scenario};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn report(name: &str, seeds: u64, make: impl Fn(u64) -> Scenario) {
    if !name.contains(&std::env::var("ONLY").unwrap_or_default()) {
        return;
    }
    let (
        mut late,
        mut crashes,
        mut missed,
        mut firsts,
        mut subjects,
        mut released,
        mut share,
        mut entries,
    ) = (0, 0, 0, 0, 0, 0, 1.0_f64, 0);
    let mut bad = Vec::new();
    let mut delay = 0;
    for seed in 0..seeds {
        let scenario = make(seed);
        let count = scenario.deadly.len();
        let outcome = scenario.play();
        late = late.max(outcome.deadly_late());
        crashes += outcome.crashes.values().map(Vec::len).sum::<usize>();
        if outcome.fewest_crashes() >= 5 && outcome.deadly_quarantined.len() < count {
            missed += 1;
        }
        if let (Some(f), Some(q)) = (
            outcome.crashes.values().next().and_then(|c| c.get(2)),
            outcome.deadly_quarantined.values().next(),
        ) {
            delay = delay.max(q.saturating_sub(*f));
        }
        firsts += usize::from(outcome.sound_first_part().is_some());
        subjects += outcome.sound_quarantined.len();
        released += outcome.deadly_released;
        share = share.min(outcome.sound_share(25_000));
        entries = entries.max(outcome.late_entries);
        if outcome.deadly_late() > 3 || !outcome.sound_quarantined.is_empty() {
            bad.push((seed, outcome.deadly_late(), outcome.sound_quarantined));
        }
    }
    bad.truncate(4);
    println!(
        "{name}: late max {late}, crashes mean {}, missed {missed}, max delay after third {delay}, first parts {firsts}, sound quarantined {subjects}, released {released}, share min {share:.2}, late entries max {entries}, bad {bad:?}",
        crashes / seeds as usize
    );
}

#[test]
fn explore() {
    let seeds: u64 = std::env::var("SEEDS").map_or(5, |seeds| seeds.parse().unwrap());
    use Deadly::*;
    for (size, base) in [
        ("12", Scenario::new as fn(u64) -> Scenario),
        ("90", Scenario::grown),
    ] {
        for deadly in [
            vec![NewSubject],
            vec![KnownSubject],
            vec![SubjectOfOneFirstPart],
            vec![NewFirstPart],
            vec![KnownFirstPart],
            vec![NewSubject, NewSubject],
            vec![NewSubject, KnownFirstPart],
            vec![KnownSubject, NewFirstPart],
        ] {
            report(&format!("{size} {deadly:?}"), seeds, |seed| {
                base(seed).deadly(&deadly)
            });
        }
        report(&format!("{size} low share"), seeds, |seed| {
            let mut s = base(seed);
            s.share = 0.01;
            s
        });
        report(&format!("{size} high share"), seeds, |seed| {
            let mut s = base(seed);
            s.share = 0.2;
            s
        });
        report(&format!("{size} slow prefill"), seeds, |seed| {
            let mut s = base(seed);
            s.prefill = 200..900;
            s
        });
        report(&format!("{size} loss"), seeds, |seed| {
            let mut s = base(seed);
            s.loss = 0.3;
            s
        });
        report(&format!("{size} cut"), seeds, |seed| {
            let mut s = base(seed);
            s.cut = 9_000..30_000;
            s
        });
        report(&format!("{size} clock 300"), seeds, |seed| {
            let mut s = base(seed);
            s.clock_error = 300;
            s
        });
        report(&format!("{size} few subjects"), seeds, |seed| {
            let mut s = base(seed);
            s.subjects = 10;
            s.first_parts = 2;
            s
        });
        report(&format!("{size} one first part"), seeds, |seed| {
            let mut s = base(seed);
            s.first_parts = 1;
            s
        });
        report(&format!("{size} many subjects"), seeds, |seed| {
            let mut s = base(seed);
            s.subjects = 3000;
            s
        });
        for (name, gap) in [
            ("moment", 0),
            ("100 ms", 100),
            ("400 ms", 400),
            ("1 s", 1000),
            ("2 s", 2000),
        ] {
            report(
                &format!("{size} sound, each killed {name}"),
                seeds,
                |seed| {
                    let mut s = base(seed).sound();
                    s.kills = (0..200)
                        .map(|i| (10_000 + i * gap, i as usize % s.servers))
                        .collect();
                    s
                },
            );
        }
        report(&format!("{size} sound, random kills 3/s"), seeds, |seed| {
            let mut s = base(seed).sound();
            let mut r = StdRng::seed_from_u64(seed);
            s.kills = (0..100)
                .map(|_| (r.random_range(5_000..40_000), r.random_range(0..s.servers)))
                .collect();
            s
        });
        report(
            &format!("{size} sound, random kills long down"),
            seeds,
            |seed| {
                let mut s = base(seed).sound();
                let mut r = StdRng::seed_from_u64(seed);
                s.down = 8000..12000;
                s.kills = (0..100)
                    .map(|_| (r.random_range(5_000..40_000), r.random_range(0..s.servers)))
                    .collect();
                s
            },
        );
        report(&format!("{size} sound, random kills slow"), seeds, |seed| {
            let mut s = base(seed).sound();
            s.prefill = 300..900;
            let mut r = StdRng::seed_from_u64(seed);
            s.kills = (0..100)
                .map(|_| (r.random_range(5_000..40_000), r.random_range(0..s.servers)))
                .collect();
            s
        });
        report(&format!("{size} sound, flapping"), seeds, |seed| {
            let mut s = base(seed).sound();
            s.down = 200..500;
            s.kills = (0..200)
                .map(|i| (5_000 + i * 170, i as usize % 4))
                .collect();
            s
        });
        report(
            &format!("{size} sound, regions die in turn"),
            seeds,
            |seed| {
                let mut s = base(seed).sound();
                s.kills = (0..6)
                    .flat_map(|i| {
                        (0..s.servers)
                            .filter(move |x| x % 3 == (i % 3))
                            .map(move |x| (8_000 + i as u64 * 1_500, x))
                    })
                    .collect();
                s
            },
        );
        report(&format!("{size} deadly and random kills"), seeds, |seed| {
            let mut s = base(seed);
            let mut r = StdRng::seed_from_u64(seed);
            s.kills = (0..60)
                .map(|_| (r.random_range(5_000..40_000), r.random_range(0..s.servers)))
                .collect();
            s
        });
        report(&format!("{size} stops"), seeds, |seed| {
            let mut s = base(seed).sound();
            s.stops = (0..60)
                .map(|i| (5_000 + i * 500, i as usize % s.servers))
                .collect();
            s
        });
    }
}
