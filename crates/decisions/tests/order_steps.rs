//! Orders to engines under faults.

use std::time::Duration;

use hawthornquay_decisions::{
    MonotonicTime, OrderKind, OrderLease, OrderList, OrderPlan, OrderRecord, OrderRequest,
    OrderState, OrderStep,
};

const TTL: Duration = Duration::from_secs(5);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn order(kind: OrderKind, model: &str, fence: u64) -> OrderRequest {
    OrderRequest {
        kind,
        model: model.into(),
        fence,
    }
}

fn list(orders: &[(OrderKind, &str, u64, OrderState)]) -> OrderList {
    let record = |(kind, model, fence, state): &(OrderKind, &str, u64, OrderState)| OrderRecord {
        order: order(*kind, model, *fence),
        state: *state,
    };
    OrderList {
        orders: orders.iter().map(record).collect(),
    }
}

/// Guards against orders sent without a lease or before a former holder's have ended.
#[test]
fn lease_bounds_orders() {
    let mut lease = OrderLease::new(7, TTL, at(0), at(100));
    assert!(lease.is_held(at(3_900)) && !lease.is_held(at(4_000)));
    lease.record_renewal(at(3_000));
    assert!(lease.is_held(at(6_900)));
    lease.record_renewal(at(9_000));
    assert!(!lease.is_held(at(9_100)), "a lapsed lease was revived");

    let plan =
        |checks_fencing| OrderPlan::new(vec![(OrderKind::LoadModel, "m".into())], checks_fencing);
    let fresh = OrderLease::new(7, TTL, at(0), at(100));
    assert_eq!(plan(true).next_step(&fresh, at(200)), OrderStep::ListOrders);
    let wait = plan(false).next_step(&fresh, at(200));
    assert_eq!(wait, OrderStep::WaitUntil(at(15_100)));
    assert_eq!(plan(false).next_step(&fresh, at(15_200)), OrderStep::Stop);
    let mut held = fresh;
    for second in 1..16 {
        held.record_renewal(at(second * 1_000));
    }
    assert_eq!(
        plan(false).next_step(&held, at(15_200)),
        OrderStep::ListOrders
    );
}

/// Guards against orders sent twice, given up after a lost answer, or undone unnoticed.
#[test]
fn plan_follows_list() {
    use {OrderKind::*, OrderState::*};
    let send = || OrderStep::Send(order(LoadModel, "m", 7));
    let cases = [
        ("nothing listed", list(&[]), send()),
        (
            "done",
            list(&[(LoadModel, "m", 7, Done)]),
            OrderStep::Complete,
        ),
        (
            "done by a former orderer",
            list(&[(LoadModel, "m", 3, Done)]),
            OrderStep::Complete,
        ),
        (
            "pending",
            list(&[(LoadModel, "m", 7, Pending)]),
            OrderStep::ListOrders,
        ),
        ("failed", list(&[(LoadModel, "m", 7, Failed)]), send()),
        ("another model", list(&[(LoadModel, "n", 7, Done)]), send()),
        (
            "unloaded since",
            list(&[(LoadModel, "m", 3, Done), (UnloadModel, "m", 4, Done)]),
            send(),
        ),
        (
            "newer orderer",
            list(&[(LoadModel, "n", 8, Done)]),
            OrderStep::Stop,
        ),
    ];
    let lease = OrderLease::new(7, TTL, at(0), at(0));
    for (name, list, expected) in cases {
        let mut plan = OrderPlan::new(vec![(LoadModel, "m".into())], true);
        plan.record_list(list);
        assert_eq!(plan.next_step(&lease, at(100)), expected, "{name}");
    }
}

/// Guards against an order repeated before the engine could list it.
#[test]
fn plan_reads_back_before_resend() {
    let lease = OrderLease::new(7, TTL, at(0), at(0));
    let mut plan = OrderPlan::new(vec![(OrderKind::SetRole, "prefill".into())], true);
    plan.record_list(list(&[]));
    plan.record_sent(order(OrderKind::SetRole, "prefill", 7), at(100));
    assert_eq!(plan.next_step(&lease, at(110)), OrderStep::ListOrders);
    plan.record_list(list(&[]));
    assert_eq!(plan.next_step(&lease, at(200)), OrderStep::ListOrders);
    let again = OrderStep::Send(order(OrderKind::SetRole, "prefill", 7));
    assert_eq!(plan.next_step(&lease, at(1_100)), again);
}
