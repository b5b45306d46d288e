//! Tests of the limit table: shares, loans between slot holders, and changes of the split.

mod limit_fixture;

use std::time::Duration;

use hawthornquay_decisions::{
    DomainName, InstanceId, LimitShare, LimitTable, LoanRequest, LoanStep, LoanTerms,
    MonotonicTime, SlotIndex, SlotRelease, SlotRules,
};
use limit_fixture::{BundleBuilder, holders, millis, org, snapshot};

const MILLITOKENS_PER_TOKEN: u64 = LimitShare::MILLITOKENS_PER_TOKEN;

fn id(index: usize) -> InstanceId {
    InstanceId::new(&format!("h{index}"), 1)
}

/// Reserves at instance 0 and carries out its loan requests until it admits or refuses.
///
/// Returns whether the reservation succeeded, and the number of loan requests.
fn reserve(tables: &mut [LimitTable], tokens: u64, now: MonotonicTime) -> (bool, usize) {
    let mut messages = 0;
    loop {
        if tables[0].reserve(&org("a"), tokens, now).is_some() {
            return (true, messages);
        }
        let LoanStep::Send(calls) = tables[0].next_loan_step(&org("a"), tokens, now) else {
            return (false, messages);
        };
        for call in calls {
            messages += 1;
            let at = (1..tables.len())
                .find(|index| id(*index) == call.lender)
                .unwrap();
            let domain = DomainName::from("d0");
            let grant = tables[at].handle_loan_request(&id(0), &domain, &call.request, now);
            if let Some(grant) = grant {
                tables[0].handle_loan_grant(&call.lender, &grant, now);
            }
        }
    }
}

/// Guards against shares that, because of rounding, add up to less or more than the fleet's limit.
#[test]
fn domain_shares_add_up_to_the_fleet_limit() {
    let bundle = BundleBuilder::new(1, &[1, 2, 4, 7])
        .organisation("a", 101, 1_003)
        .build();
    let mut sum = LimitShare::default();
    for domain in bundle.domains.keys() {
        sum = sum.saturating_add(LimitShare::of_domain(
            &bundle.organisations["a"],
            domain,
            &bundle.domains,
        ));
    }
    assert_eq!(sum, LimitShare::fleet_wide(&bundle.organisations["a"]));
}

/// Guards against a share in a region that the residency excludes, a loan request to such a region,
/// and loan requests to distant lenders before near ones.
#[test]
fn lender_groups_follow_distance_and_residency() {
    let builder = BundleBuilder::new(1, &[1, 1, 1, 1]).organisation("a", 100, 1_000);
    let tables = holders(&builder.build());
    let names = |table: &LimitTable| -> Vec<Vec<String>> {
        let name = |(_, id): &(DomainName, InstanceId)| id.name.to_string();
        table
            .lender_groups(&org("a"))
            .iter()
            .map(|group| group.iter().map(name).collect())
            .collect()
    };
    assert_eq!(names(&tables[0]), [vec!["h1"], vec!["h2", "h3"]]);

    let resident = BundleBuilder::new(1, &[1, 1, 1, 1])
        .organisation("a", 100, 1_000)
        .residency("a", &["r0"]);
    let mut tables = holders(&resident.build());
    assert_eq!(names(&tables[0]), [vec!["h1"]]);
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)).rate,
        50 * MILLITOKENS_PER_TOKEN
    );
    assert_eq!(
        tables[2].held_share(&org("a"), millis(0)),
        LimitShare::default()
    );
}

/// Guards against a request that is refused although other failure domains hold the tokens.
#[test]
fn large_request_borrows_from_all_domains() {
    let bundle = BundleBuilder::new(1, &[1, 1, 1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    assert!(reserve(&mut tables, 990, millis(20_000)).0);
    let (admitted, _) = reserve(&mut tables, 990, millis(21_000));
    assert!(!admitted);
    let step = tables[0].next_loan_step(&org("a"), 990, millis(21_000));
    let LoanStep::Refuse { retry_after } = step else {
        panic!("a request without tokens left gets {step:?}");
    };
    assert!(retry_after.as_secs() <= 10, "{retry_after:?}");
}

/// Guards against traffic in one failure domain that is limited to the domain's share, and against
/// loan messages for every request.
#[test]
fn steady_traffic_in_one_domain_uses_the_whole_rate_with_few_messages() {
    let bundle = BundleBuilder::new(1, &[1; 10])
        .organisation("a", 1_000, 2_000)
        .build();
    let mut tables = holders(&bundle);
    let (mut admitted, mut messages) = (0, 0);
    for step in 0..3_000_u64 {
        let now = millis(2_000 + step * 10);
        if step % 10 == 0 {
            for call in tables[0].renew_loans(now) {
                messages += 1;
                let at = (1..10).find(|index| id(*index) == call.lender).unwrap();
                let domain = DomainName::from("d0");
                let grant = tables[at].handle_loan_request(&id(0), &domain, &call.request, now);
                tables[0].handle_loan_grant(&call.lender, &grant.unwrap(), now);
            }
        }
        // 95% of the rate.
        let tokens = if step % 20 == 0 { 0 } else { 10 };
        let (done, sent) = reserve(&mut tables, tokens, now);
        admitted += u64::from(done);
        messages += sent;
    }
    assert!(admitted >= 2_970, "admitted {admitted} of 3000");
    assert!(messages <= 300, "{messages} messages in 30 s");
}

/// Guards against a second slot holder with an older bundle, whose split the first holder no longer
/// takes into account.
#[test]
fn slot_claimed_with_an_older_split_waits_for_the_newer_one() {
    let old = BundleBuilder::new(1, &[3, 1])
        .organisation("a", 100, 1_000)
        .build();
    let new = BundleBuilder::new(2, &[1, 3])
        .organisation("a", 100, 1_000)
        .build();
    let mut first = LimitTable::new(id(1), "d1".into());
    first.adopt_bundle(&new, millis(0));
    first.adopt_slots(snapshot(1, &[("d1", &id(1), 2)]), millis(0));
    assert_eq!(
        first.held_share(&org("a"), millis(0)).rate,
        75 * MILLITOKENS_PER_TOKEN
    );

    let mut second = LimitTable::new(id(0), "d0".into());
    second.adopt_bundle(&old, millis(0));
    let both = snapshot(2, &[("d0", &id(0), 1), ("d1", &id(1), 2)]);
    second.adopt_slots(both.clone(), millis(0));
    assert_eq!(second.held_share(&org("a"), millis(0)).rate, 0);
    second.adopt_bundle(&new, millis(0));
    assert_eq!(
        second.held_share(&org("a"), millis(0)).rate,
        25 * MILLITOKENS_PER_TOKEN
    );
}

/// Guards against a larger share that is used while another slot holder still uses its old share.
#[test]
fn changed_split_applies_the_lower_share_until_all_confirm() {
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    let next = BundleBuilder::new(2, &[3, 1])
        .organisation("a", 100, 1_000)
        .build();
    tables[0].adopt_bundle(&next, millis(0));
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)).rate,
        50 * MILLITOKENS_PER_TOKEN
    );
    tables[1].adopt_bundle(&next, millis(0));
    assert_eq!(
        tables[1].held_share(&org("a"), millis(0)).rate,
        25 * MILLITOKENS_PER_TOKEN
    );
    let half = snapshot(2, &[("d0", &id(0), 2), ("d1", &id(1), 1)]);
    tables[0].adopt_slots(half, millis(0));
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)).rate,
        50 * MILLITOKENS_PER_TOKEN
    );
    let all = snapshot(3, &[("d0", &id(0), 2), ("d1", &id(1), 2)]);
    tables[0].adopt_slots(all, millis(0));
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)).rate,
        75 * MILLITOKENS_PER_TOKEN
    );
}

/// Guards against slots that are released at shutdown while a borrower still spends a loan from
/// them.
#[test]
fn slot_release_waits_for_loans() {
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    assert!(reserve(&mut tables, 600, millis(8_000)).0);
    assert!(matches!(
        tables[1].release_slots(millis(8_001)),
        SlotRelease::Wait(_)
    ));
    assert_eq!(tables[1].available_nanotokens(&org("a"), millis(9_000)), 0);
    assert!(matches!(
        tables[1].release_slots(millis(11_250)),
        SlotRelease::Write(_)
    ));
    tables[1].adopt_slots(snapshot(2, &[("d0", &id(0), 1)]), millis(11_300));
    assert_eq!(tables[1].release_slots(millis(11_300)), SlotRelease::Done);
}

/// Guards against a holder that confirms a smaller share while its loans still exceed it.
#[test]
fn confirmation_of_a_smaller_share_waits_for_loans() {
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    assert!(reserve(&mut tables, 600, millis(8_000)).0);
    let next = BundleBuilder::new(2, &[9, 1])
        .organisation("a", 100, 1_000)
        .build();
    tables[1].adopt_bundle(&next, millis(8_100));
    let rules = SlotRules {
        instances: &[],
        list_lag: Duration::ZERO,
        address: ([127, 0, 0, 1], 1).into(),
        uptime: Duration::ZERO,
    };
    assert_eq!(tables[1].plan_slots(&rules, millis(8_100)), None);
    let plan = tables[1].plan_slots(&rules, millis(11_300)).unwrap();
    assert_eq!(plan.slots[&SlotIndex::of(&org("a"))].split, 2);
}

/// Guards against a holder that skipped a bundle version and ignores that its share may have been
/// lower in it.
#[test]
fn skipped_version_empties_the_slice_until_all_confirm_a_later_one() {
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    let third = BundleBuilder::new(3, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    tables[0].adopt_bundle(&third, millis(0));
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)),
        LimitShare::default()
    );
    let all = snapshot(2, &[("d0", &id(0), 3), ("d1", &id(1), 3)]);
    tables[0].adopt_slots(all, millis(0));
    assert_eq!(
        tables[0].held_share(&org("a"), millis(0)).rate,
        50 * MILLITOKENS_PER_TOKEN
    );
}

/// Guards against a late loan request that lowers the lender's record below what a newer request
/// was granted.
#[test]
fn late_loan_request_gets_no_answer() {
    let bundle = BundleBuilder::new(1, &[1, 1])
        .organisation("a", 100, 1_000)
        .build();
    let mut tables = holders(&bundle);
    let domain = DomainName::from("d0");
    let mut request_loan = |sequence, rate| {
        let req = LoanRequest {
            organisation: org("a"),
            sequence,
            share: LimitShare {
                rate,
                capacity: 1_000,
            },
            amount: 0,
            duration: LoanTerms::DURATION,
        };
        tables[1].handle_loan_request(&id(0), &domain, &req, millis(4_000))
    };
    assert_eq!(request_loan(2, 10_000).unwrap().share.rate, 10_000);
    assert_eq!(request_loan(1, 1_000), None);
    assert_eq!(request_loan(2, 10_000), None);
}
