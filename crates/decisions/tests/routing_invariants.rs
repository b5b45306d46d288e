//! Property tests of routing decisions, load estimates and retries.

use std::time::Duration;

use hawthornquay_decisions::{
    Execution, LoadKey, LoadOutcome, LoadState, Priority, Residency, RetryBudget, RetryDecision,
    RetryState, RoutingDecision, RoutingHop,
};
use proptest::prelude::*;

use routing_fleet::{Fleet, NOW, key, report, target};

mod routing_fleet;

const SERVERS: [&str; 4] = ["a1-e1", "a1-e2", "a2", "b1"];

prop_compose! {
    fn fleet()(
        running in prop::array::uniform4(prop::option::of(0_u32..20)),
        leaving in prop::array::uniform4(any::<bool>()),
        failed in prop::array::uniform4(any::<bool>()),
        tried in prop::array::uniform4(prop::bool::weighted(0.2)),
        grant in 0_u32..3,
        regions in prop::option::of(prop::sample::subsequence(vec!["a", "b"], 0..=2)),
        hop in prop_oneof![3 => Just(RoutingHop::Caller), 1 => (0_u32..4).prop_map(RoutingHop::Forwarded)],
        queue_ms in prop_oneof![Just(0_u64), 0_u64..9000],
    ) -> (Fleet, [bool; 4]) {
        let mut fleet = Fleet::new().grant("b1", grant);
        for (index, name) in SERVERS.into_iter().enumerate() {
            if let Some(running) = running[index] {
                fleet = fleet.load(name, running);
            }
            if leaving[index] {
                if index % 2 == 0 {
                    fleet.view.mark_leaving(key(name), NOW);
                } else {
                    let mut report = report(0);
                    report.leaving = true;
                    report.sequence = 2;
                    fleet.view.record_report(key(name), report, Duration::ZERO, NOW);
                }
            }
            if failed[index] {
                let ticket = fleet.view.record_sent(key(name), 0, NOW);
                fleet.view.record_ended(ticket, LoadOutcome::Failed, NOW);
            }
            if tried[index] {
                fleet.tried.push(key(name));
            }
        }
        fleet.residency = regions.map_or(Residency::Any, |regions| {
            Residency::Regions(regions.into_iter().map(Into::into).collect())
        });
        fleet.hop = hop;
        fleet.queue_wait = Duration::from_millis(queue_ms);
        (fleet, leaving)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against a route that violates the residency, forwards a request twice, chooses a server
    /// or domain that is shutting down or was tried, or leaves the region without a grant.
    #[test]
    fn decision_keeps_invariants((fleet, leaving) in fleet(), batch in any::<bool>(), random in any::<u64>()) {
        let priority = if batch { Priority::Batch } else { Priority::Interactive };
        let (chosen, domain) = match fleet.decide_for(priority, random) {
            RoutingDecision::Call(name) => {
                let domain = fleet.bundle.backends[&name].domain.clone();
                prop_assert_eq!(&domain, &fleet.location.domain);
                (LoadKey::Backend(name), domain)
            }
            RoutingDecision::Forward(domain) => {
                prop_assert_eq!(fleet.hop, RoutingHop::Caller);
                prop_assert_ne!(&domain, &fleet.location.domain);
                (LoadKey::Domain(domain.clone(), target()), domain)
            }
            RoutingDecision::Wait => return Ok(()),
            RoutingDecision::Refuse(refusal) => {
                prop_assert_eq!(refusal.execution, Execution::NotRun);
                return Ok(());
            }
        };
        let region = fleet.bundle.region_of(&domain).unwrap();
        prop_assert!(fleet.residency.allows(region));
        prop_assert!(fleet.residency.allows(&fleet.location.region));
        prop_assert!(matches!(fleet.hop, RoutingHop::Caller | RoutingHop::Forwarded(1)));
        prop_assert!(!fleet.tried.contains(&chosen));
        if let Some(index) = SERVERS.iter().position(|name| key(name) == chosen) {
            prop_assert!(!leaving[index], "{chosen:?} is shutting down");
        }
        if *region != fleet.location.region {
            prop_assert!(fleet.grants.available(&domain, &target(), NOW) > 0);
        }
    }

    /// Guards against an estimate that is negative or infinite, or that includes requests which have
    /// ended, for any order of reports, sent requests and ended requests.
    #[test]
    fn view_estimate_is_finite_and_excludes_ended_requests(
        steps in prop::collection::vec((0_u8..4, 0_u64..400, 0_u32..12), 1..80),
        instances in 1_usize..50,
    ) {
        let mut fleet = Fleet::new();
        fleet.view.set_instance_count(instances);
        let mut now = NOW;
        let mut tickets = Vec::new();
        for (number, (step, ms, value)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(ms);
            match step {
                0 => {
                    let mut report = report(value);
                    report.sequence = number as u64 + 2;
                    fleet.view.record_report(key("a1-e1"), report, Duration::from_millis(ms * 3), now);
                }
                1 if !tickets.is_empty() => {
                    let ticket = tickets.swap_remove(value as usize % tickets.len());
                    fleet.view.record_ended(ticket, LoadOutcome::Answered, now);
                }
                _ => tickets.push(fleet.view.record_sent(key("a1-e1"), u64::from(value), now)),
            }
            if let LoadState::Available(estimate) = fleet.view.state(&key("a1-e1"), now) {
                prop_assert!(estimate.occupied >= 0.0 && estimate.occupied.is_finite());
                prop_assert!(estimate.queue_seconds >= 0.0 && estimate.queue_seconds.is_finite());
            }
        }
        let occupied_after_report = |fleet: &mut Fleet, sequence, now| {
            let mut last = report(3);
            last.sequence = sequence;
            fleet.view.record_report(key("a1-e1"), last, Duration::ZERO, now);
            match fleet.view.state(&key("a1-e1"), now) {
                LoadState::Available(estimate) => estimate.occupied,
                state => panic!("{state:?}"),
            }
        };
        // The first report includes the requests still in flight; the second one is made after they
        // have ended.
        now = now + Duration::from_millis(1);
        prop_assert_eq!(occupied_after_report(&mut fleet, 1_000, now), 3.0);
        for ticket in tickets {
            fleet.view.record_ended(ticket, LoadOutcome::Answered, now);
        }
        now = now + Duration::from_millis(1);
        prop_assert_eq!(occupied_after_report(&mut fleet, 1_001, now), 3.0);
    }

    /// Guards against a second run of a request that is not repeatable, a retry after the caller
    /// received part of the answer, unbounded retries, and a refusal that wrongly says `not-run`.
    #[test]
    fn retry_keeps_invariants(
        repeatable in any::<bool>(),
        failures in prop::collection::vec((0_u8..3, any::<bool>()), 1..8),
    ) {
        let mut state = RetryState::new(repeatable);
        let mut budget = RetryBudget::default();
        let mut may_have_run = false;
        let mut started = false;
        for (index, (execution, starts)) in failures.into_iter().enumerate() {
            let execution = [Execution::NotRun, Execution::Unknown, Execution::Ran][usize::from(execution)];
            if starts && execution != Execution::NotRun {
                started = true;
                state.record_answer_started();
            }
            may_have_run |= execution != Execution::NotRun;
            let decision = state.record_failure(key(SERVERS[index % 4]), execution, None, &mut budget);
            match decision {
                RetryDecision::RouteAgain => {
                    prop_assert!(!started, "retry after the first byte of an answer");
                    prop_assert!(repeatable || !may_have_run, "retry of a request that may have run and is not repeatable");
                    prop_assert!(execution != Execution::Ran);
                    prop_assert!(index < 2, "retry after attempt {index}");
                }
                RetryDecision::GiveUp(refusal) => {
                    prop_assert_eq!(refusal.execution == Execution::NotRun, !may_have_run);
                    return Ok(());
                }
            }
        }
    }
}

/// Guards against retries that amplify the load of an overloaded fleet.
#[test]
fn retry_budget_bounds_share() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        let decision = RetryState::new(true).record_failure(
            key("a1-e1"),
            Execution::NotRun,
            None,
            &mut budget,
        );
        retries += u32::from(decision == RetryDecision::RouteAgain);
    }
    assert!((900..=1_050).contains(&retries), "{retries} retries");
}
