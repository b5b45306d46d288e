//! Property test under faults: a fleet never admits more than an organisation's rate and burst.

mod limit_fixture;

use hawthornquay_decisions::DomainName;
use limit_fixture::{
    BundleBuilder,
    limit_fleet::{Fleet, NO_FAULT},
    org,
};
use proptest::prelude::*;

/// Applies one random event to the fleet.
///
/// `kind`, from 0 to 99, selects the event; the ranges are the frequencies in per cent.
fn apply_event(fleet: &mut Fleet, (kind, index, amount, fault_seed): (u8, u8, u16, u8)) {
    let index = usize::from(index);
    let value = u64::from(amount);
    let organisation = org(if fault_seed.is_multiple_of(3) {
        "home"
    } else {
        "wide"
    });
    match kind {
        0..30 => fleet.admit_and_borrow(index, &organisation, value % 3_000 + 1, fault_seed),
        30..45 => fleet.settle(index, usize::from(amount), u64::from(fault_seed) % 101),
        45..70 => fleet.advance(value * 5),
        70..75 => fleet.advance(value * 60),
        75..77 => fleet.renew_loans(index, fault_seed),
        77..80 => fleet.run_control_round(fault_seed),
        80..83 => fleet.pause(index, value * 100),
        83..85 if amount.is_multiple_of(4) => fleet.start_same_name(index),
        83..85 => fleet.crash(index, fault_seed.is_multiple_of(2)),
        85 => fleet.add_instance(index),
        86..90 => fleet.read_slots(index, usize::from(fault_seed % 4)),
        90..94 => fleet.write_slots(index, value * 10),
        94..95 => fleet.release_slots(index, value * 10),
        95..96 => fleet.publish(|bundle| {
            let domain = DomainName::from(format!("d{}", index % 3));
            if let Some(domain) = bundle.domains.get_mut(&domain) {
                domain.limit_weight = value % 5;
            }
        }),
        96..97 => fleet.publish(|bundle| {
            if let Some(entry) = bundle.organisations.get_mut(&organisation) {
                entry.rate = 200 + value % 1_000;
                entry.burst = 500 + value % 2_000;
            }
        }),
        _ => fleet.deliver_bundle(index, fault_seed.is_multiple_of(4)),
    }
}

/// Builds a fleet of nine instances in three failure domains, two of which are in the same region.
///
/// The organisation `wide` may use all regions, `home` only `r0`.
fn fleet() -> Fleet {
    let bundle = BundleBuilder::new(1, &[1, 2, 1])
        .organisation("wide", 1_000, 2_000)
        .organisation("home", 500, 1_000)
        .residency("home", &["r0"])
        .build();
    Fleet::new(bundle, 3)
}

/// Guards against a simulated fleet that stays within the limit only because it admits almost
/// nothing.
#[test]
fn fleet_without_faults_admits_most_of_the_rate() {
    let mut fleet = fleet();
    for round in 0..2_000 {
        fleet.admit_and_borrow(round, &org("wide"), 20, NO_FAULT);
        fleet.advance(10_000);
        if round % 10 == 0 {
            (0..9).for_each(|index| fleet.renew_loans(index, NO_FAULT));
        }
    }
    let admitted = fleet.admitted(&org("wide"));
    assert!(
        (18_000..=20_600).contains(&admitted),
        "admitted {admitted} of 20000 tokens"
    );
    fleet.assert_within_limit(&org("wide"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a fleet that admits more than burst + rate·t. Possible causes are loans that
    /// are counted twice, refunds of tokens that would have overflowed, slots with two holders, and
    /// splits of two bundle versions in use at once.
    #[test]
    fn fleet_never_exceeds_rate_and_burst(
        events in proptest::collection::vec((0_u8..100, any::<u8>(), any::<u16>(), any::<u8>()), 50..600),
    ) {
        let mut fleet = fleet();
        for event in events {
            apply_event(&mut fleet, event);
            fleet.assert_within_limit(&org("wide"));
            fleet.assert_within_limit(&org("home"));
        }
    }
}
