//! Orders that one engine should have carried out.

use std::time::Duration;

use crate::{
    Map, MonotonicTime, OrderKind, OrderLease, OrderList, OrderRequest, OrderState, OrderStep,
};

/// Time before an order that failed or is missing is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(1);

/// Orders that one engine should have carried out, compared with what it lists.
///
/// An order's answer proves nothing, because it can be lost; only the list counts.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    wanted: Vec<(OrderKind, String)>,
    checks_fencing: bool,
    list: Option<OrderList>,
    sent: Map<(OrderKind, String), MonotonicTime>,
}

impl OrderPlan {
    /// Builds a plan for an engine that does or does not check fencing numbers.
    pub fn new(wanted: Vec<(OrderKind, String)>, checks_fencing: bool) -> Self {
        Self {
            wanted,
            checks_fencing,
            list: None,
            sent: Map::default(),
        }
    }

    /// Takes the engine's list of orders.
    pub fn record_list(&mut self, list: OrderList) {
        self.list = Some(list);
    }

    /// Records that an order was sent, whatever its answer; the list must be read again.
    pub fn record_sent(&mut self, order: OrderRequest, now: MonotonicTime) {
        self.list = None;
        self.sent.insert((order.kind, order.model), now);
    }

    /// Returns the next step; the orderer asks again after each wait.
    pub fn next_step(&self, lease: &OrderLease, now: MonotonicTime) -> OrderStep {
        if !lease.is_held(now) {
            return OrderStep::Stop;
        }
        if !self.checks_fencing && now < lease.unfenced_orders_allowed_at() {
            return OrderStep::WaitUntil(lease.unfenced_orders_allowed_at());
        }
        let Some(list) = &self.list else {
            return OrderStep::ListOrders;
        };
        if list
            .orders
            .iter()
            .any(|record| record.order.fence > lease.fence())
        {
            return OrderStep::Stop;
        }
        let mut settled = true;
        for (kind, model) in &self.wanted {
            match self.state_of(list, *kind, model) {
                Some(OrderState::Done) => {}
                Some(OrderState::Pending) => settled = false,
                None | Some(OrderState::Failed) => {
                    return self.send(*kind, model, lease, now);
                }
            }
        }
        if settled {
            OrderStep::Complete
        } else {
            OrderStep::ListOrders
        }
    }

    /// Returns the progress of an order, none if a later one has undone it.
    fn state_of(&self, list: &OrderList, kind: OrderKind, model: &str) -> Option<OrderState> {
        let latest = list.orders.iter().rev().find(|record| {
            record
                .order
                .kind
                .replaces(kind, record.order.model == model)
        })?;
        (latest.order.kind == kind && latest.order.model == model).then_some(latest.state)
    }

    fn send(
        &self,
        kind: OrderKind,
        model: &str,
        lease: &OrderLease,
        now: MonotonicTime,
    ) -> OrderStep {
        let sent = self.sent.get(&(kind, model.to_owned()));
        if sent.is_some_and(|sent| now < *sent + RESEND_AFTER) {
            return OrderStep::ListOrders;
        }
        OrderStep::Send(OrderRequest {
            kind,
            model: model.to_owned(),
            fence: lease.fence(),
        })
    }
}
