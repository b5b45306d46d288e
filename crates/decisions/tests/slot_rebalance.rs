//! Tests of slots that move to a joining instance.

mod limit_fixture;

use std::{collections::BTreeMap, time::Duration};

use hawthornquay_decisions::{
    DomainName, DomainSlots, InstanceId, InstanceState, LimitShare, LimitTable, LoanRequest,
    LoanTerms, OrganisationId, SlotIndex, SlotRecord, SlotRules,
};
use limit_fixture::{
    BundleBuilder,
    limit_fleet::{Fleet, NO_FAULT},
    millis, org,
};

/// Time between two control rounds of the fleet, in which each instance plans its slots.
const ROUND_INTERVAL_MS: u64 = 500;

/// Guards against a joining instance that gets no slots, an organisation that is without a slot
/// holder for longer than one handover, and a fleet that exceeds the limit while slots move.
#[test]
fn joining_instance_gets_its_share_of_slots_within_a_minute() {
    const ORGANISATIONS: usize = 40;
    let mut bundle = BundleBuilder::new(1, &[1, 1, 1]);
    for index in 0..ORGANISATIONS {
        bundle = bundle.organisation(&format!("o{index}"), 1_000, 4_000);
    }
    let mut fleet = Fleet::new(bundle.build(), 3);
    let domain = DomainName::from("d0");
    let organisations: Vec<OrganisationId> = (0..ORGANISATIONS)
        .map(|index| org(&format!("o{index}")))
        .collect();
    let round = |fleet: &mut Fleet| {
        for step in 0..5 {
            for (index, organisation) in organisations.iter().enumerate() {
                // Instances in other failure domains borrow, so that there are always loans.
                fleet.admit_and_borrow(index + step, organisation, 100, NO_FAULT);
            }
            fleet.advance(ROUND_INTERVAL_MS * 1_000 / 5);
        }
        fleet.run_control_round(NO_FAULT);
    };
    (0..10).for_each(|_| round(&mut fleet));
    fleet.start("d0-late", &domain);
    let start = fleet.now_us;
    let mut share_after = None;
    let mut unowned_since: BTreeMap<&OrganisationId, u64> = BTreeMap::new();
    let mut longest_us = 0;
    while fleet.now_us - start < 60_000_000 {
        round(&mut fleet);
        for organisation in &organisations {
            if fleet.owns_rate(&domain, organisation) {
                unowned_since.remove(organisation);
                continue;
            }
            let since = *unowned_since
                .entry(organisation)
                .or_insert(fleet.now_us - ROUND_INTERVAL_MS * 1_000);
            longest_us = longest_us.max(fleet.now_us - since);
        }
        let counts = fleet.slot_counts(&domain);
        if share_after.is_none() && counts.get("d0-late").is_some_and(|count| *count >= 16) {
            share_after = Some(fleet.now_us - start);
        }
    }
    let counts = fleet.slot_counts(&domain);
    println!(
        "part after {share_after:?} us, longest time without limit {longest_us} us, {counts:?}"
    );
    assert!(counts.values().all(|count| *count == 16), "{counts:?}");
    assert!(share_after.is_some());
    assert!(
        longest_us <= 3 * ROUND_INTERVAL_MS * 1_000,
        "{longest_us} us"
    );
    for organisation in &organisations {
        fleet.assert_within_limit(organisation);
    }
}

/// Guards against a slot that is released while a loan from it has not ended or its holder still
/// spends, and against a holder that spends from it again although the write that releases it may
/// still take effect.
#[test]
fn slot_is_released_after_its_loans_and_not_spent_again() {
    let in_last_slot = (0..10_000)
        .map(|index| format!("o{index}"))
        .find(|name| SlotIndex::of(&org(name)) == SlotIndex(63))
        .unwrap();
    let organisation = org(&in_last_slot);
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation(&in_last_slot, 1_000, 4_000)
        .build();
    let mut tables = limit_fixture::holders(&bundle);
    let (holder, borrower) = (InstanceId::new("h0", 1), InstanceId::new("h1", 1));
    let loan_request = |sequence| LoanRequest {
        organisation: organisation.clone(),
        sequence,
        share: LimitShare {
            rate: 100_000,
            capacity: 100 * LimitShare::NANOTOKENS_PER_TOKEN,
        },
        amount: 0,
        duration: LoanTerms::DURATION,
    };
    let lend = |table: &mut LimitTable, sequence, ms| {
        let grant =
            table.handle_loan_request(&borrower, &"d1".into(), &loan_request(sequence), millis(ms));
        grant.unwrap().share.rate
    };
    assert_eq!(lend(&mut tables[0], 1, 8_000), 100_000);
    let domain = DomainName::from("d0");
    let live = |name| limit_fixture::record(name, &domain, InstanceState::Live, 9_000);
    let instances = [live("h0"), live("late")];
    let rules = SlotRules {
        instances: &instances,
        list_lag: Duration::from_millis(500),
        address: ([127, 0, 0, 1], 1).into(),
        uptime: Duration::ZERO,
    };
    let table = &mut tables[0];
    let first = table.plan_slots(&rules, millis(8_100)).unwrap();
    assert_eq!(
        first.slots.len(),
        61,
        "at most 4 slots are handed over at a time, and one of them has a loan"
    );
    assert!(
        first.slots.contains_key(&SlotIndex(63)),
        "a slot is released before its loan ended"
    );
    assert_eq!(lend(table, 2, 8_200), 0);
    assert!(table.available_nanotokens(&organisation, millis(8_200)) > 0);

    let second = table.plan_slots(&rules, millis(11_250)).unwrap();
    assert!(!second.slots.contains_key(&SlotIndex(63)));
    assert_eq!(table.available_nanotokens(&organisation, millis(11_250)), 0);
    let unchanged = limit_fixture::snapshot(2, &[("d0", &holder, 1), ("d1", &borrower, 1)]);
    table.adopt_slots(unchanged, millis(11_300));
    assert_eq!(table.available_nanotokens(&organisation, millis(12_000)), 0);
    assert!(
        table.plan_slots(&rules, millis(12_000)).is_some(),
        "the release is not tried again"
    );
}

/// Guards against slots that move although they are evenly spread, that move without end, or that
/// are released when free slots would suffice.
#[test]
fn slots_to_release_evens_out_slots_per_instance() {
    let domain = DomainName::from("d0");
    let held = |counts: &[usize]| {
        let holders = counts.iter().enumerate().flat_map(|(index, count)| {
            std::iter::repeat_n(InstanceId::new(&format!("i{index:02}"), 1), *count)
        });
        let slots = SlotIndex::all().zip(holders).map(|(slot, holder)| {
            let record = SlotRecord {
                holder,
                split: 1,
                address: None,
            };
            (slot, record)
        });
        DomainSlots {
            slots: slots.collect(),
        }
    };
    let surplus = |counts: &[usize], newest_age_ms: u64| -> Vec<usize> {
        let instances: Vec<_> = (0..counts.len())
            .map(|index| {
                let age = if index + 1 == counts.len() {
                    newest_age_ms
                } else {
                    9_000
                };
                limit_fixture::record(&format!("i{index:02}"), &domain, InstanceState::Live, age)
            })
            .collect();
        let rules = SlotRules {
            instances: &instances,
            list_lag: Duration::from_millis(500),
            address: ([127, 0, 0, 1], 1).into(),
            uptime: Duration::ZERO,
        };
        (0..counts.len())
            .map(|index| {
                let instance = InstanceId::new(&format!("i{index:02}"), 1);
                rules.slots_to_release(&held(counts), &instance)
            })
            .collect()
    };
    assert_eq!(surplus(&[32, 32, 0], 9_000), [10, 11, 0]);
    assert_eq!(
        surplus(&[32, 32, 0], 500),
        [0, 0, 0],
        "the new instance is not in every list yet"
    );
    assert_eq!(surplus(&[22, 21, 21], 9_000), [0, 0, 0]);
    assert_eq!(
        surplus(&[32, 20, 0], 9_000),
        [10, 0, 0],
        "the free slots are assigned before any slot is released"
    );
    let mut large = vec![2; 29];
    large.extend([1; 6]);
    large.push(0);
    assert_eq!(surplus(&large, 9_000).iter().sum::<usize>(), 1);
}
