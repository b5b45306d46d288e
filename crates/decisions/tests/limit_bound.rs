//! Property test of the hard bound of limits under faults.

mod limit_fixture;

use hawthornquay_decisions::DomainName;
use limit_fixture::{
    BundleBuilder,
    limit_fleet::{FAULTLESS, Fleet},
    org,
};
use proptest::prelude::*;

/// Applies one random event to the fleet.
fn step(fleet: &mut Fleet, (kind, index, amount, fate): (u8, u8, u16, u8)) {
    let index = usize::from(index);
    let wide = u64::from(amount);
    let organisation = org(if fate.is_multiple_of(3) {
        "home"
    } else {
        "wide"
    });
    match kind {
        0..30 => fleet.drain(index, &organisation, wide % 3_000 + 1, fate),
        30..45 => fleet.settle(index, usize::from(amount), u64::from(fate) % 101),
        45..70 => fleet.advance(wide * 5),
        70..75 => fleet.advance(wide * 60),
        75..77 => fleet.renew(index, fate),
        77..80 => fleet.tick(fate),
        80..83 => fleet.sleep(index, wide * 100),
        83..85 if amount.is_multiple_of(4) => fleet.replace(index),
        83..85 => fleet.crash(index, fate.is_multiple_of(2)),
        85 => fleet.join(index),
        86..90 => fleet.read_slots(index, usize::from(fate % 4)),
        90..94 => fleet.write_slots(index, wide * 10),
        94..95 => fleet.release(index, wide * 10),
        95..96 => fleet.publish(|bundle| {
            let domain = DomainName::from(format!("d{}", index % 3));
            if let Some(domain) = bundle.domains.get_mut(&domain) {
                domain.limit_weight = wide % 5;
            }
        }),
        96..97 => fleet.publish(|bundle| {
            if let Some(entry) = bundle.organisations.get_mut(&organisation) {
                entry.rate = 200 + wide % 1_000;
                entry.burst = 500 + wide % 2_000;
            }
        }),
        _ => fleet.roll_out(index, fate.is_multiple_of(4)),
    }
}

/// Builds nine instances in three domains, of which two share a region.
fn fleet() -> Fleet {
    let bundle = BundleBuilder::new(1, &[1, 2, 1])
        .organisation("wide", 1_000, 2_000)
        .organisation("home", 500, 1_000)
        .residency("home", &["r0"])
        .build();
    Fleet::new(bundle, 3)
}

/// Guards against a bound that holds only because the simulated fleet admits next to nothing.
#[test]
fn fleet_without_faults_admits_most_of_the_rate() {
    let mut fleet = fleet();
    for round in 0..2_000 {
        fleet.drain(round, &org("wide"), 20, FAULTLESS);
        fleet.advance(10_000);
        if round % 10 == 0 {
            (0..9).for_each(|index| fleet.renew(index, FAULTLESS));
        }
    }
    let admitted = fleet.admitted(&org("wide"));
    assert!(
        (18_000..=20_600).contains(&admitted),
        "{admitted} of 20000 tokens"
    );
    fleet.check(&org("wide"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any way in which the fleet admits more than burst + rate·t: loans counted
    /// twice, refunds into capacity that overflowed, slots with two holders, or splits of two
    /// versions in use at once.
    #[test]
    fn fleet_never_exceeds_rate_and_burst(
        events in proptest::collection::vec((0_u8..100, any::<u8>(), any::<u16>(), any::<u8>()), 50..600),
    ) {
        let mut fleet = fleet();
        for event in events {
            step(&mut fleet, event);
            fleet.check(&org("wide"));
            fleet.check(&org("home"));
        }
    }
}
