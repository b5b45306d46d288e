//! Orders that a model engine has accepted.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{EngineOrder, OrderKind};

/// Accepts orders, with or without a check of the fencing number, and applies them after a delay.
#[derive(Debug)]
pub(crate) struct EngineOrders {
    checks_fencing: bool,
    delay: Duration,
    highest_fence: u64,
    initial_models: Vec<String>,
    /// Accepted orders that no later order superseded, with the time of acceptance.
    orders: Vec<(Instant, EngineOrder)>,
}

impl EngineOrders {
    pub(crate) fn new(checks_fencing: bool, delay: Duration, initial_models: Vec<String>) -> Self {
        Self {
            checks_fencing,
            delay,
            highest_fence: 0,
            initial_models,
            orders: Vec::new(),
        }
    }

    /// Accepts `order`; a repetition of an accepted order has no effect.
    ///
    /// # Errors
    ///
    /// Returns the highest fencing number seen if that of the order is lower and is checked.
    pub(crate) fn accept(&mut self, now: Instant, order: EngineOrder) -> Result<(), u64> {
        if self.checks_fencing && order.fence < self.highest_fence {
            return Err(self.highest_fence);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let is_repeated = |held: &EngineOrder| held.kind == order.kind && held.model == order.model;
        if self.orders.iter().any(|(_, held)| is_repeated(held)) {
            return Ok(());
        }
        self.orders.retain(|(_, held)| !supersedes(&order, held));
        self.orders.push((now, order));
        Ok(())
    }

    /// Returns the models, adapters and versions that the engine serves at `now`.
    pub(crate) fn models(&self, now: Instant) -> Vec<String> {
        let mut models = self.initial_models.clone();
        for (_, order) in self.orders.iter().filter(|(at, _)| *at + self.delay <= now) {
            match order.kind {
                OrderKind::SetRole => {}
                OrderKind::LoadAdapter | OrderKind::LoadModel | OrderKind::LoadVersion => {
                    if !models.contains(&order.model) {
                        models.push(order.model.clone());
                    }
                }
                OrderKind::UnloadModel => models.retain(|model| *model != order.model),
            }
        }
        models
    }

    /// Returns the state as the JSON body of `GET /orders`.
    pub(crate) fn to_json(&self, now: Instant) -> Value {
        let is_in_effect = |at: Instant| at + self.delay <= now;
        let role = self
            .orders
            .iter()
            .rfind(|(at, order)| order.kind == OrderKind::SetRole && is_in_effect(*at))
            .map(|(_, order)| order.model.as_str());
        let orders: Vec<Value> = self
            .orders
            .iter()
            .map(|(at, order)| {
                let state = if is_in_effect(*at) { "done" } else { "pending" };
                json!({
                    "kind": order.kind,
                    "model": order.model,
                    "fence": order.fence,
                    "state": state,
                })
            })
            .collect();
        json!({
            "fence": self.highest_fence,
            "role": role,
            "models": self.models(now),
            "orders": orders,
        })
    }
}

/// Returns whether `new` supersedes `held`: both set a role, or both concern the same model.
fn supersedes(new: &EngineOrder, held: &EngineOrder) -> bool {
    let both_roles = new.kind == OrderKind::SetRole && held.kind == OrderKind::SetRole;
    let neither_role = new.kind != OrderKind::SetRole && held.kind != OrderKind::SetRole;
    both_roles || (neither_role && new.model == held.model)
}
