//! Plan of the orders for one engine.

use std::time::Duration;

use crate::{
    Map, MonotonicTime, OrderKind, OrderLease, OrderList, OrderRequest, OrderState, OrderStep,
};

/// Shortest time between two sends of an order that failed or is missing from the list.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Orders that one engine is to carry out, compared with those that it lists.
///
/// Progress is read from the list only, because the response to an order can be lost.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    wanted: Vec<(OrderKind, String)>,
    checks_fencing: bool,
    list: Option<OrderList>,
    sent: Map<(OrderKind, String), MonotonicTime>,
}

impl OrderPlan {
    /// Returns a plan of the `wanted` kinds and models.
    ///
    /// `checks_fencing` is whether the engine rejects orders with an old fencing number.
    pub fn new(wanted: Vec<(OrderKind, String)>, checks_fencing: bool) -> Self {
        Self {
            wanted,
            checks_fencing,
            list: None,
            sent: Map::default(),
        }
    }

    /// Records the list of orders that the engine returned.
    pub fn record_list(&mut self, list: OrderList) {
        self.list = Some(list);
    }

    /// Records that an order was sent, whatever the response, and discards the list.
    pub fn record_sent(&mut self, order: OrderRequest, now: MonotonicTime) {
        self.list = None;
        self.sent.insert((order.kind, order.model), now);
    }

    /// Returns the next step; to be called again after each step and each wait.
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
        let mut is_complete = true;
        for (kind, model) in &self.wanted {
            match self.state_of(list, *kind, model) {
                Some(OrderState::Done) => {}
                Some(OrderState::Pending) => is_complete = false,
                None | Some(OrderState::Failed) => {
                    return self.send_step(*kind, model, lease, now);
                }
            }
        }
        if is_complete {
            OrderStep::Complete
        } else {
            OrderStep::ListOrders
        }
    }

    /// Returns the progress of an order, or `None` if it is not listed or a later order superseded
    /// it.
    fn state_of(&self, list: &OrderList, kind: OrderKind, model: &str) -> Option<OrderState> {
        let latest = list.orders.iter().rev().find(|record| {
            record
                .order
                .kind
                .supersedes(kind, record.order.model == model)
        })?;
        (latest.order.kind == kind && latest.order.model == model).then_some(latest.state)
    }

    fn send_step(
        &self,
        kind: OrderKind,
        model: &str,
        lease: &OrderLease,
        now: MonotonicTime,
    ) -> OrderStep {
        let sent = self.sent.get(&(kind, model.to_owned()));
        if sent.is_some_and(|sent| now < *sent + RESEND_INTERVAL) {
            return OrderStep::ListOrders;
        }
        OrderStep::Send(OrderRequest {
            kind,
            model: model.to_owned(),
            fence: lease.fence(),
        })
    }
}
