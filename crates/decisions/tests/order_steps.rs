//! Tests of the lease and the plan that control which orders are sent to engines.

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

/// Guards against orders that are sent without a valid lease: after the lease expired, after a late
/// renewal revived it, or, to an engine without fencing, while a former holder may still send some.
#[test]
fn orders_require_valid_lease() {
    let mut lease = OrderLease::new(7, TTL, at(0), at(100));
    assert!(lease.is_held(at(3_900)) && !lease.is_held(at(4_000)));
    lease.record_renewal(at(3_000));
    assert!(lease.is_held(at(6_900)));
    lease.record_renewal(at(9_000));
    assert!(!lease.is_held(at(9_100)), "an expired lease was revived");

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

/// Guards against an order that is sent again although it is done or pending, is dropped after its
/// response was lost, or is not sent again after a later order superseded it.
#[test]
fn plan_step_depends_on_listed_orders() {
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
            "done for a former lease holder",
            list(&[(LoadModel, "m", 3, Done)]),
            OrderStep::Complete,
        ),
        (
            "pending",
            list(&[(LoadModel, "m", 7, Pending)]),
            OrderStep::ListOrders,
        ),
        ("failed", list(&[(LoadModel, "m", 7, Failed)]), send()),
        (
            "only another model listed",
            list(&[(LoadModel, "n", 7, Done)]),
            send(),
        ),
        (
            "unloaded later",
            list(&[(LoadModel, "m", 3, Done), (UnloadModel, "m", 4, Done)]),
            send(),
        ),
        (
            "order with a higher fencing number",
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

/// Guards against an order that is sent again before the engine had time to list it.
#[test]
fn plan_lists_orders_before_resend() {
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
