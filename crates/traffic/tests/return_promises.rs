//! Capacity promised to refused requests: bounds, urgency, shares, and what remains of the promises
//! when instances fail.

mod common;

use std::time::Duration;

use common::{RequestContext, at, configuration, regions, server, table_of_warm, work};
use hawthornquay_decisions::{MonotonicTime, OrganisationId, ServiceName};
use hawthornquay_traffic::{
    MAX_PROMISES, MAX_REPORTED_PROMISES, PROMISE_GRACE, PROMISE_LEAD, PlacementDecision,
    PlacementOptions, PromiseReport, PromiseScope, RegionTable, ReportedPromise, ReturnKey,
    ReturnPromises, Work, place,
};

/// Prompt tokens that the engines of the region prefill per millisecond: a window of 800 ms has
/// 800,000 of them, of which 200,000 may be promised and 66,666 to one organisation.
const RATE: f64 = 1_000.0;

const MAX_PROMISED: u64 = 200_000;

const SOON: Duration = Duration::from_secs(2);

fn llm() -> ServiceName {
    ServiceName::new("llm")
}

fn key(organisation: &str, request: u32) -> ReturnKey {
    let organisation = OrganisationId::new(organisation);
    let mut work = work(1, 100, 100);
    work.parts[1].id = u64::from(request);
    ReturnKey::new(Some(&organisation), &llm(), &work).unwrap()
}

/// Returns the table of an instance in a region of `instances` instances.
fn table_in(instances: usize) -> ReturnPromises {
    let mut table = ReturnPromises::default();
    table.set_capacity([(&llm(), RATE)].into_iter(), instances);
    table
}

fn table() -> ReturnPromises {
    table_in(1)
}

/// Admits as many requests as allow any promise within the other bounds.
fn admit(table: &mut ReturnPromises) {
    for urgency in 0..=2 {
        for _ in 0..100 {
            table.record_admitted(&llm(), urgency, 12_500);
        }
    }
}

/// Promises capacity at the time 0 for a return exactly after [`SOON`].
fn promise(table: &mut ReturnPromises, key: ReturnKey, tokens: u64, urgency: u8) -> bool {
    let due = at(0) + SOON;
    admit(table);
    table
        .promise(at(0), key, tokens, urgency, due, due)
        .is_some()
}

/// Lets the leader of a region learn the promises of `member` and report all it knows to it.
fn exchange(now: MonotonicTime, leader: &mut ReturnPromises, member: &mut ReturnPromises) {
    leader.apply(now, &member.to_report(now, PromiseScope::Own));
    member.apply(now, &leader.to_report(now, PromiseScope::Region));
}

/// Guards against capacity that is withheld although nobody was refused.
#[test]
fn reserved_latency_is_zero_without_promises() {
    let mut table = table();
    assert_eq!(
        table.reserved_latency(at(0), &llm(), 9, false),
        Duration::ZERO
    );
    assert_eq!(
        table.to_report(at(0), PromiseScope::Region),
        PromiseReport::default()
    );
}

/// Guards against requests that cannot be told apart when they return.
#[test]
fn key_needs_prompt_parts_and_differs_by_organisation_service_and_last_part() {
    let organisation = OrganisationId::new("o");
    assert_eq!(
        ReturnKey::new(Some(&organisation), &llm(), &Work::default()),
        None
    );
    assert_eq!(key("o", 1), key("o", 1));
    assert_ne!(key("o", 1).hash, key("o", 2).hash);
    assert_ne!(key("o", 1).hash, key("p", 1).hash);
    let other = ServiceName::new("other");
    let last = work(1, 100, 100);
    let keys = [&llm(), &other].map(|service| ReturnKey::new(None, service, &last).unwrap());
    assert_ne!(keys[0].hash, keys[1].hash);
}

/// Guards against promises that are redeemed twice, or outside the time for which capacity is
/// reserved.
#[test]
fn redeem_succeeds_once_while_promise_is_due() {
    let mut table = table();
    assert!(promise(&mut table, key("o", 1), 1_000, 2));
    let due = at(0) + SOON;
    let before = MonotonicTime(due.0 - PROMISE_LEAD.as_micros() as u64 - 1);
    assert!(!table.redeem(before, key("o", 1)), "too early");
    assert!(!table.redeem(due, key("o", 2)), "another request");
    assert!(
        !table.redeem(due + PROMISE_GRACE, key("o", 1)),
        "it has ended"
    );
    assert!(table.redeem(due, key("o", 1)));
    assert!(!table.redeem(due, key("o", 1)), "it was redeemed");
}

/// Guards against a caller that holds capacity for good by returning again and again.
#[test]
fn promise_is_neither_replaced_nor_renewed() {
    let mut table = table();
    admit(&mut table);
    let (due, latest) = (at(2_000), at(4_000));
    let first = table.promise(at(0), key("o", 1), 1_000, 2, due, latest);
    assert_eq!(first, Some(due));
    let again = table.promise(at(500), key("o", 1), 1_000, 2, at(3_000), latest);
    assert_eq!(again, Some(due), "the open promise is named again");
    assert!(table.redeem(due, key("o", 1)));
    let renewed = table.promise(at(2_100), key("o", 1), 1_000, 2, at(3_000), latest);
    assert_eq!(renewed, None);
}

/// Guards against reserving more than a quarter of what the engines prefill in a window.
#[test]
fn promise_leaves_three_quarters_of_prefill_for_others() {
    let mut table = table();
    let promised = (0..100)
        .filter(|n| promise(&mut table, key(&format!("o{n}"), *n), 12_000, 2))
        .count();
    assert_eq!(promised, 16, "of 200,000 tokens");
    let now = at(0) + SOON;
    assert_eq!(table.reserved_tokens(now, &llm(), 2), 16 * 12_000);
    assert_eq!(
        table.reserved_latency(now, &llm(), 2, false),
        Duration::from_millis(192)
    );
}

/// Guards against a bound that holds for each promise alone: windows that overlap partly share
/// their moments.
#[test]
fn promise_bound_holds_for_every_moment() {
    let mut table = table();
    let mut made = Vec::new();
    for n in 0..400_u32 {
        admit(&mut table);
        let due = at(2_000 + u64::from(n * 37 % 2_000));
        let id = key(&format!("o{n}"), n);
        if let Some(due) = table.promise(at(0), id, 9_000, 2, due, due) {
            made.push(due);
        }
    }
    for ms in (1_500..5_000).step_by(10) {
        let now = at(ms);
        let is_due =
            |due: &&MonotonicTime| now + PROMISE_LEAD >= **due && now.0 < (**due + PROMISE_GRACE).0;
        let tokens = 9_000 * made.iter().filter(is_due).count() as u64;
        assert!(tokens <= MAX_PROMISED, "{tokens} at {ms}");
    }
    assert!(made.len() > 50, "{}", made.len());
}

/// Guards against promises of a region without engines, or before its engines are known.
#[test]
fn promise_needs_known_engines() {
    let mut table = ReturnPromises::default();
    assert!(!promise(&mut table, key("o", 1), 1, 2));
    table.set_capacity([(&llm(), 0.0)].into_iter(), 1);
    assert!(!promise(&mut table, key("o", 1), 1, 2));
}

/// Guards against refusing a promise although there is room a little later, and against a time of
/// return so late that the caller gives up.
#[test]
fn promise_names_later_time_with_room_up_to_latest() {
    let mut table = table();
    for n in 0..16 {
        assert!(promise(&mut table, key(&format!("o{n}"), n), 12_500, 2));
    }
    admit(&mut table);
    let due = at(0) + SOON;
    let mut ask =
        |request, latest| table.promise(at(0), key("late", request), 12_500, 2, due, latest);
    assert_eq!(ask(1, due + Duration::from_millis(700)), None);
    let window = PROMISE_LEAD + PROMISE_GRACE;
    assert_eq!(ask(2, due + window), Some(due + window));
    assert_eq!(ask(3, at(0)), None, "the time itself is too late");
}

/// Guards against all callers that find no room being sent to the same moment.
#[test]
fn promise_spreads_times_of_return() {
    let mut table = table();
    let mut counts = [0_u32; 30];
    for n in 0..600_u32 {
        admit(&mut table);
        let due = at(2_000 + u64::from(n * 7 % 1_000));
        let id = key(&format!("o{}", n % 16), n);
        if let Some(due) = table.promise(at(0), id, 2_368, 0, due, at(5_000)) {
            counts[(due.since(at(2_000)).as_millis() / 100).min(29) as usize] += 1;
        }
    }
    let promised: u32 = counts.iter().sum();
    assert!(promised > 200, "{counts:?}");
    // 200,000 tokens are 84 promises; a fifth of all in 100 ms would be a crowd.
    assert!(
        counts.iter().all(|count| *count <= promised / 5),
        "{counts:?}"
    );
}

/// Guards against one organisation that takes all promises.
#[test]
fn promise_to_one_organisation_is_bounded_by_a_third() {
    let mut table = table();
    let promised = (0..50)
        .filter(|n| promise(&mut table, key("large", *n), 10_000, 2))
        .count();
    assert_eq!(promised, 6, "of 66,666 tokens");
    assert!(promise(&mut table, key("small", 1), 10_000, 2));
}

/// Guards against an overload in which all new requests are refused and only returning ones are
/// served: promises follow the admitted requests of the same urgency.
#[test]
fn promise_needs_admitted_requests_of_same_urgency() {
    let mut table = table();
    let due = at(0) + SOON;
    let ask = |table: &mut ReturnPromises, request, urgency| {
        let id = key("o", request);
        table.promise(at(0), id, 3_000, urgency, due, due).is_some()
    };
    assert!(!ask(&mut table, 1, 0), "nothing was admitted");
    table.record_admitted(&llm(), 0, 9_000);
    table.record_admitted(&ServiceName::new("other"), 2, 9_000);
    assert!(!ask(&mut table, 1, 2), "another service or urgency");
    assert!(ask(&mut table, 1, 0), "a third of what was admitted");
    assert!(!ask(&mut table, 2, 0), "it is used up");
}

/// Guards against a returning request that lengthens the queue of more urgent ones beyond their
/// limits, so that they are refused.
#[test]
fn returning_request_keeps_its_target_while_more_urgent_ones_are_refused() {
    let mut table = table();
    table.record_refused(at(0), &llm(), 1);
    assert!(!table.may_exceed_target(at(500), &llm(), 2));
    assert!(table.may_exceed_target(at(500), &llm(), 1), "as urgent");
    assert!(table.may_exceed_target(at(500), &ServiceName::new("other"), 2));
    assert!(table.may_exceed_target(at(600), &llm(), 2), "long ago");
}

/// Guards against a promise to a less urgent request that withholds capacity from a more urgent
/// one.
#[test]
fn reserved_tokens_count_only_promises_that_are_as_urgent() {
    let mut table = table();
    assert!(promise(&mut table, key("o", 1), 10_000, 2));
    assert!(promise(&mut table, key("o", 2), 1_000, 1));
    let now = at(0) + SOON;
    let tokens = [0, 1, 2, 3].map(|urgency| table.reserved_tokens(now, &llm(), urgency));
    assert_eq!(tokens, [0, 1_000, 11_000, 11_000]);
    let returning = [0, 1, 2].map(|urgency| table.reserved_latency(now, &llm(), urgency, true));
    let expected = [0, 0, 1].map(Duration::from_millis);
    assert_eq!(returning, expected, "room for more urgent promises only");
    assert_eq!(
        table.reserved_tokens(now, &ServiceName::new("other"), 2),
        0,
        "another service"
    );
}

/// Guards against capacity that stays idle: it is reserved only while a promise is due, and is free
/// as soon as the promise is redeemed or has ended.
#[test]
fn reserved_tokens_are_released_when_promise_is_redeemed_or_ends() {
    let mut table = table();
    assert!(promise(&mut table, key("o", 1), 10_000, 2));
    assert!(promise(&mut table, key("o", 2), 5_000, 2));
    let due = at(0) + SOON;
    assert_eq!(table.reserved_tokens(at(1_000), &llm(), 2), 0, "not due");
    assert_eq!(table.reserved_tokens(due, &llm(), 2), 15_000);
    assert!(table.redeem(due, key("o", 1)));
    assert_eq!(table.reserved_tokens(due, &llm(), 2), 5_000);
    let end = due + PROMISE_GRACE;
    assert_eq!(table.reserved_tokens(end, &llm(), 2), 0);
    assert_eq!(table.expire(end), 1, "the other was redeemed");
    assert!(table.is_empty());
}

/// Guards against tables and notices that grow without bound.
#[test]
fn promises_and_reports_are_bounded() {
    let mut table = table();
    let open: Vec<ReportedPromise> = (0..10_000)
        .map(|n| ReportedPromise {
            key: key(&format!("o{n}"), n),
            tokens: 1,
            urgency: 2,
            ends_in: Duration::from_millis(60_000 - u64::from(n)),
        })
        .collect();
    for open in open.chunks(MAX_REPORTED_PROMISES) {
        let (open, redeemed) = (open.to_vec(), Vec::new());
        table.apply(at(0), &PromiseReport { open, redeemed });
    }
    assert_eq!(table.len(), MAX_PROMISES);
    assert!(!promise(&mut table, key("o", 1), 1, 2), "the table is full");
    let report = table.to_report(at(0), PromiseScope::Region);
    assert_eq!(report.open.len(), MAX_REPORTED_PROMISES);
    let earliest = Duration::from_millis(60_000 - MAX_PROMISES as u64 + 1);
    assert_eq!(report.open[0].ends_in, earliest, "those that end first");
}

/// Guards against reports with absurd values, which must not reserve everything or for ever.
#[test]
fn apply_ignores_promises_beyond_bounds() {
    let mut table = table();
    let record = |n, tokens, ends_in| ReportedPromise {
        key: key("o", n),
        tokens,
        urgency: 0,
        ends_in,
    };
    let report = PromiseReport {
        open: vec![
            record(1, u64::MAX, SOON),
            record(2, 1, Duration::MAX),
            record(3, 1, Duration::ZERO),
            record(4, MAX_PROMISED, SOON),
        ],
        redeemed: vec![1, 2, 3],
    };
    table.apply(at(0), &report);
    assert!(table.is_empty());
}

/// Guards against instances that each promise the whole quarter before they know of each other's
/// promises.
#[test]
fn promise_of_many_instances_at_once_stays_near_bound() {
    let mut members: Vec<ReturnPromises> = (0..20).map(|_| table_in(20)).collect();
    let mut promised = 0;
    for (n, member) in members.iter_mut().enumerate() {
        for request in 0..50 {
            let id = key(&format!("o{n}"), request);
            promised += u64::from(promise(member, id, 2_000, 0)) * 2_000;
        }
    }
    assert_eq!(promised, MAX_PROMISED);
    let mut leader = table_in(20);
    for member in &mut members {
        exchange(at(300), &mut leader, member);
    }
    let tokens = leader.reserved_tokens(at(0) + SOON, &llm(), 0);
    assert_eq!(tokens, MAX_PROMISED);
}

/// Guards against promises whose number in a table exceeds the bound because several sides of a
/// partition made them.
#[test]
fn apply_keeps_bound_when_others_have_promised_too() {
    let (mut one, mut two) = (table(), table());
    for n in 0..16 {
        assert!(promise(&mut one, key(&format!("a{n}"), n), 12_000, 2));
        assert!(promise(&mut two, key(&format!("b{n}"), n), 12_000, 2));
    }
    one.apply(at(100), &two.to_report(at(100), PromiseScope::Region));
    let tokens = one.reserved_tokens(at(0) + SOON, &llm(), 2);
    assert!(tokens <= MAX_PROMISED, "{tokens}");
}

/// Guards against a promise that is kept only by the instance that made it: the caller may return to
/// any instance of the region, and the instance may have stopped or been killed.
#[test]
fn promise_of_lost_owner_is_kept_by_others_until_it_ends() {
    let (mut owner, mut leader, mut member) = (table(), table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    assert!(promise(&mut owner, key("o", 2), 1_000, 2));
    exchange(at(300), &mut leader, &mut owner);
    exchange(at(310), &mut leader, &mut member);
    drop(owner);
    for ms in (600..2_000).step_by(300) {
        exchange(at(ms), &mut leader, &mut member);
    }
    let due = at(0) + SOON;
    assert!(member.redeem(due, key("o", 1)));
    assert_eq!(member.reserved_tokens(due, &llm(), 2), 1_000);
    let end = due + PROMISE_GRACE;
    for table in [&mut leader, &mut member] {
        assert_eq!(table.reserved_tokens(end, &llm(), 2), 0);
        assert_eq!(table.expire(end), 0, "only the owner counts it as expired");
        assert!(table.is_empty());
    }
}

/// Guards against a restarted owner that has forgotten what it promised.
#[test]
fn restarted_owner_learns_promises_of_region() {
    let (mut owner, mut leader) = (table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    exchange(at(300), &mut leader, &mut owner);
    // The new process does not know the engines of the region yet.
    let mut owner = ReturnPromises::default();
    exchange(at(900), &mut leader, &mut owner);
    assert!(owner.redeem(at(0) + SOON, key("o", 1)));
    // What it learned is not its own, so that it is not reported as such.
    assert!(
        owner
            .to_report(at(1_000), PromiseScope::Own)
            .open
            .is_empty()
    );
}

/// Guards against promises that are lost with the leader: owners report them in every notice.
#[test]
fn next_leader_knows_promises_within_two_notices() {
    let (mut owner, mut lost) = (table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    exchange(at(300), &mut lost, &mut owner);
    drop(lost);
    let (mut leader, mut member) = (table(), table());
    exchange(at(600), &mut leader, &mut owner);
    exchange(at(900), &mut leader, &mut member);
    assert!(member.redeem(at(0) + SOON, key("o", 1)));
}

/// Guards against a promise that is kept again after it was redeemed at another instance.
#[test]
fn redeemed_promise_is_reported_to_all() {
    let (mut owner, mut leader, mut member) = (table(), table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    exchange(at(300), &mut leader, &mut owner);
    exchange(at(300), &mut leader, &mut member);
    let due = at(0) + SOON;
    assert!(member.redeem(due, key("o", 1)));
    let later = due + Duration::from_millis(100);
    exchange(later, &mut leader, &mut member);
    exchange(later, &mut leader, &mut owner);
    for table in [&mut owner, &mut leader] {
        assert_eq!(table.reserved_tokens(later, &llm(), 2), 0);
        assert!(!table.redeem(later, key("o", 1)));
    }
    assert_eq!(
        owner.expire(due + PROMISE_GRACE),
        0,
        "it did not expire unused"
    );
    let mut newcomer = table();
    newcomer.apply(later, &leader.to_report(later, PromiseScope::Region));
    assert!(newcomer.is_empty(), "it is not reported as open");
}

/// Guards against unbounded reservations in a partitioned region: each side keeps what it knows, and
/// a promise is kept at most once on each side.
#[test]
fn partitioned_sides_keep_what_they_know() {
    let (mut owner, mut leader) = (table(), table());
    let (mut other_leader, mut other) = (table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    exchange(at(300), &mut leader, &mut owner);
    other_leader.apply(at(300), &leader.to_report(at(300), PromiseScope::Region));
    exchange(at(300), &mut other_leader, &mut other);
    // The region is partitioned from here on.
    let due = at(0) + SOON;
    for (leader, member) in [(&mut leader, &mut owner), (&mut other_leader, &mut other)] {
        assert!(member.redeem(due, key("o", 1)));
        exchange(due, leader, member);
        assert!(!leader.redeem(due, key("o", 1)), "once on each side");
        assert_eq!(leader.reserved_tokens(due, &llm(), 2), 0);
    }
    // The sides are joined again.
    leader.apply(due, &other_leader.to_report(due, PromiseScope::Region));
    assert!(!leader.redeem(due, key("o", 1)));
}

/// Guards against times of the sender's clock that are read as times of the receiver's, and against
/// a promise that lasts longer with each report that takes its time.
#[test]
fn promise_times_are_on_the_clock_of_the_receiver() {
    let (mut owner, mut leader) = (table(), table());
    assert!(promise(&mut owner, key("o", 1), 1_000, 2));
    let offset = Duration::from_secs(5_000_000);
    for ms in (300..2_000).step_by(300) {
        let report = owner.to_report(at(ms), PromiseScope::Own);
        leader.apply(at(ms + 40) + offset, &report);
        let report = leader.to_report(at(ms + 50) + offset, PromiseScope::Region);
        owner.apply(at(ms + 90), &report);
    }
    let due = at(0) + SOON;
    let delay = Duration::from_millis(40);
    assert_eq!(leader.reserved_tokens(due + offset, &llm(), 2), 1_000);
    let end = due + PROMISE_GRACE + offset + delay;
    assert_eq!(leader.reserved_tokens(end, &llm(), 2), 0);
    assert_eq!(
        owner.expire(due + PROMISE_GRACE),
        1,
        "not prolonged by echoes"
    );
}

/// Guards against a time that goes back within a process, which must not panic or use old sums.
#[test]
fn reserved_tokens_do_not_depend_on_order_of_calls() {
    let mut table = table();
    assert!(promise(&mut table, key("o", 1), 1_000, 2));
    let due = at(0) + SOON;
    assert_eq!(table.reserved_tokens(due + PROMISE_GRACE, &llm(), 2), 0);
    assert_eq!(table.reserved_tokens(due, &llm(), 2), 1_000);
    assert_eq!(table.reserved_tokens(at(0), &llm(), 2), 0);
    assert!(!table.redeem(MonotonicTime(0), key("o", 1)));
}

/// Places a request at one engine with `queued` prompt tokens before it.
fn place_behind(queued: u64, context: &RequestContext) -> PlacementDecision {
    let mut servers = table_of_warm(&[server("s1", "home-a")]);
    let small = work(1, 0, 0);
    let pick = servers.pick(at(0), &context.request(&small)).unwrap();
    let pick = hawthornquay_traffic::ServerPick {
        uncached_tokens: queued,
        ..pick
    };
    servers.record_sent(at(0), &pick, None);
    let local = regions(&["home"]);
    let options = PlacementOptions {
        local_region: &local[0],
        allowed_regions: &local,
        may_forward: false,
        region_round_trip: Duration::from_millis(80),
        forward_margin: Duration::from_millis(20),
    };
    let work = work(1, 90, 290);
    let req = context.request(&work);
    place(at(0), &req, &options, &mut servers, &RegionTable::default())
}

/// Guards against a returning request that is refused again because its latency target has passed,
/// and against admitting one whose deadline will pass.
#[test]
fn place_admits_returning_request_until_its_deadline() {
    let mut context = RequestContext {
        time_left: Duration::from_secs(3),
        ..RequestContext::default()
    };
    let is_admitted =
        |decision: &PlacementDecision| matches!(decision, PlacementDecision::Server(_));
    // 190,000 tokens take 2 s, and the latency target is 1 s.
    assert!(!is_admitted(&place_behind(190_000, &context)));
    context.is_returning = true;
    assert!(is_admitted(&place_behind(190_000, &context)));
    assert!(!is_admitted(&place_behind(290_000, &context)));
}

/// Guards against requests without a promise that take the capacity reserved for others.
#[test]
fn place_leaves_room_for_reserved_tokens() {
    let mut context = RequestContext {
        configuration: configuration(0, 0),
        ..RequestContext::default()
    };
    // 57,000 tokens take 0.6 s; up to 0.8 s is admitted.
    let decision = place_behind(57_000, &context);
    assert!(
        matches!(decision, PlacementDecision::Server(_)),
        "{decision:?}"
    );
    context.reserved_latency = Duration::from_millis(180);
    let decision = place_behind(57_000, &context);
    let PlacementDecision::Overloaded {
        expected_latency, ..
    } = decision
    else {
        panic!("{decision:?}");
    };
    assert!(
        expected_latency > Duration::from_millis(800),
        "{expected_latency:?}"
    );
}
