//! Tests of fairness, limits and priorities in the queue for overloaded servers.

use std::time::Duration;

use hawthornquay_decisions::{
    Execution, FairQueue, MonotonicTime, OrganisationId, Priority, QueueEntry, RefusalCode,
};
use proptest::prelude::*;

const LONGEST_WAIT: Duration = Duration::from_secs(10);

fn entry(organisation: &str, priority: Priority, cost: u64, ms: u64) -> QueueEntry<u64> {
    QueueEntry {
        organisation: organisation.into(),
        priority,
        cost,
        waiting_since: MonotonicTime::from_millis(ms),
        item: ms,
    }
}

fn pop(queue: &mut FairQueue<u64>, ms: u64) -> Option<QueueEntry<u64>> {
    queue.pop(MonotonicTime::from_millis(ms), |_| true)
}

/// Guards against batch requests that are served before interactive ones, or never.
#[test]
fn queue_serves_interactive_first_without_starving_batch() {
    let mut queue = FairQueue::new(LONGEST_WAIT);
    queue.push(entry("b", Priority::Batch, 1, 0), 1.0).unwrap();
    for ms in 0..20 {
        queue
            .push(entry("i", Priority::Interactive, 1, ms), 1.0)
            .unwrap();
    }
    for _ in 0..8 {
        assert_eq!(
            pop(&mut queue, 100).unwrap().priority,
            Priority::Interactive
        );
    }
    let overdue = (0..4).filter_map(|_| pop(&mut queue, 6_000));
    assert_eq!(
        overdue
            .filter(|entry| entry.priority == Priority::Batch)
            .count(),
        1
    );
}

/// Guards against requests that never expire, and against an organisation that is charged for
/// requests that expired unserved, so that its next request is served late.
#[test]
fn queue_expires_requests_without_charge() {
    let mut queue = FairQueue::new(LONGEST_WAIT);
    for ms in 0..100 {
        queue
            .push(entry("a", Priority::Interactive, 1_000, ms), 1.0)
            .unwrap();
    }
    queue
        .push(entry("b", Priority::Interactive, 10, 9_000), 1.0)
        .unwrap();
    let expired = queue.expire(MonotonicTime::from_millis(10_500));
    assert_eq!(expired.len(), 100);
    let refusal = &expired[0].1;
    assert_eq!(refusal.code, RefusalCode::NoCapacity);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert!(refusal.retry_after.is_some());
    queue
        .push(entry("a", Priority::Interactive, 10, 10_500), 1.0)
        .unwrap();
    assert_eq!(pop(&mut queue, 10_500).unwrap().organisation.as_str(), "a");
    assert_eq!(pop(&mut queue, 10_500).unwrap().organisation.as_str(), "b");
    assert_eq!(queue.waiting(), 0);
}

/// Guards against one organisation that fills the memory with waiting requests, and against
/// requests that are served after their caller disconnected.
#[test]
fn queue_bounds_organisation_and_removes_cancelled() {
    let mut queue = FairQueue::new(LONGEST_WAIT);
    let accepted = (0..1_000)
        .filter(|ms| queue.push(entry("a", Priority::Batch, 1, *ms), 1.0).is_ok())
        .count();
    assert!(accepted < 1_000);
    assert!(queue.push(entry("b", Priority::Batch, 1, 0), 1.0).is_ok());
    assert_eq!(queue.remove(|item| *item == 5).unwrap().item, 5);
    assert!(queue.remove(|item| *item == 5).is_none());
    assert_eq!(queue.waiting(), accepted);
    let wait = queue.expected_wait(&"c".into(), Priority::Interactive, 10.0);
    assert_eq!(wait, Duration::ZERO);
    let wait = queue.expected_wait(&"c".into(), Priority::Batch, 10.0);
    assert_eq!(wait, Duration::from_millis(200));
}

/// Guards against an organisation whose request cannot be served yet, for example because of its
/// residency, and which blocks other organisations.
#[test]
fn queue_skips_organisation_that_is_not_ready() {
    let mut queue = FairQueue::new(LONGEST_WAIT);
    for (organisation, ms) in [("a", 1), ("a", 2), ("b", 3)] {
        queue
            .push(entry(organisation, Priority::Interactive, 1, ms), 1.0)
            .unwrap();
    }
    let now = MonotonicTime::from_millis(5);
    let popped = queue.pop(now, |entry| entry.organisation.as_str() != "a");
    assert_eq!(popped.unwrap().item, 3);
    assert!(queue.pop(now, |_| false).is_none());
    assert_eq!(pop(&mut queue, 5).unwrap().item, 1);
    assert_eq!(queue.waiting(), 1);
}

proptest! {
    /// Guards against an organisation that gets less than its share because others send bursts.
    ///
    /// As long as each organisation has a request waiting, the costs served differ between any two
    /// organisations by no more than the cost of a few of the largest requests.
    #[test]
    fn queue_serves_equal_cost_to_organisations(
        costs in prop::collection::vec((0_usize..4, 1_u64..100), 1..400),
        burst in 1_usize..20,
    ) {
        let names = ["a", "b", "c", "d"];
        let mut queue = FairQueue::new(LONGEST_WAIT);
        let mut served = [0_u64; 4];
        let index_of = |organisation: &OrganisationId| {
            names.iter().position(|name| *name == organisation.as_str()).unwrap()
        };
        for name in names {
            queue.push(entry(name, Priority::Interactive, 50, 0), 1.0).unwrap();
        }
        for (index, cost) in costs {
            // Organisation `index` sends a burst, then one request is served.
            for _ in 0..burst {
                let _ = queue.push(entry(names[index], Priority::Interactive, cost, 0), 1.0);
            }
            let popped = pop(&mut queue, 1).unwrap();
            let popped_index = index_of(&popped.organisation);
            served[popped_index] += popped.cost;
            if queue.waiting_of(&popped.organisation) == 0 {
                queue.push(entry(names[popped_index], Priority::Interactive, 50, 0), 1.0).unwrap();
            }
            let least = served.iter().min().unwrap();
            let most = served.iter().max().unwrap();
            prop_assert!(most - least <= 200, "costs served: {served:?}");
        }
    }
}
