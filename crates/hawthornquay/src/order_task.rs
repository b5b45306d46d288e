//! Orders to the model engines of the own failure domain.

use std::{sync::Arc, time::Duration};

use hawthornquay_backends::OrderResponse;
use hawthornquay_decisions::{
    BackendKind, BackendServer, Execution, MonotonicTime, OrderKind, OrderLease, OrderPlan,
    OrderRequest, OrderStep,
};
use hawthornquay_operators::AuditAction;
use hawthornquay_store::{LeaseId, PlatformError, Revision};
use slog::{info, warn};

use crate::{Node, OrderAudit, clock};

/// Time between two looks at the engines' models when the bundle does not change.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

const TICK: Duration = Duration::from_millis(500);

const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Engine with the orders that it still needs.
struct Engine {
    server: BackendServer,
    plan: OrderPlan,
}

/// What the engines of the domain lack.
struct Need {
    engines: Vec<Engine>,
    /// Whether the models of each engine could be read.
    all_read: bool,
}

/// Lease that makes this instance the orderer of its domain.
struct Orderer {
    lease: OrderLease,
    id: LeaseId,
    renew_at: MonotonicTime,
    /// Audit records written under this lease.
    recorded: u64,
}

impl Orderer {
    fn record(&mut self, audit: &OrderAudit, action: AuditAction) {
        audit.record(self.lease.fence(), self.recorded, action);
        self.recorded += 1;
    }
}

/// Orders what the bundle names and engines lack, for as long as the process runs.
pub async fn run_orders(node: Arc<Node>) {
    let audit = OrderAudit::start(&node);
    let mut checked: Option<(u64, MonotonicTime)> = None;
    loop {
        tokio::time::sleep(TICK).await;
        let now = clock::now();
        let version = node.bundle.version();
        let due =
            checked.is_none_or(|(known, at)| known != version || now.since(at) > CHECK_INTERVAL);
        if version == 0
            || !due
            || !node.members.lock().is_domain_leader(now)
            || node.drain.is_closing()
        {
            continue;
        }
        let need = engines_in_need(&node).await;
        let settled = need.engines.is_empty() || order(&node, &audit, need.engines).await;
        // A view that differs lets another instance hold the lease; the lease decides.
        if settled && need.all_read {
            checked = Some((version, now));
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn engines_in_need(node: &Node) -> Need {
    let mut need = Need {
        engines: Vec::new(),
        all_read: true,
    };
    let Some(bundle) = node.bundle.active() else {
        return need;
    };
    for server in bundle.bundle().backends.values() {
        let BackendKind::ModelEngine { models } = &server.kind else {
            continue;
        };
        if server.domain != node.place.domain {
            continue;
        }
        let loaded = match node.backends.models(server.address).await {
            Ok(loaded) => loaded,
            Err(error) => {
                warn!(
                    node.log.orders, "models of an engine cannot be read, trying again";
                    "server" => %server.name, "error" => %error,
                );
                need.all_read = false;
                continue;
            }
        };
        let missing: Vec<(OrderKind, String)> = models
            .iter()
            .filter(|model| !loaded.contains(model))
            .map(|model| (OrderKind::LoadModel, model.to_string()))
            .collect();
        if !missing.is_empty() {
            let plan = OrderPlan::new(missing, server.checks_fencing);
            need.engines.push(Engine {
                server: server.clone(),
                plan,
            });
        }
    }
    need
}

/// Takes the lease and orders until everything is settled; returns whether it is.
async fn order(node: &Node, audit: &OrderAudit, engines: Vec<Engine>) -> bool {
    let mut orderer = match take_lease(node).await {
        Ok(orderer) => orderer,
        Err(error) => {
            info!(node.log.orders, "lease not taken"; "error" => %error);
            return false;
        }
    };
    info!(node.log.orders, "lease taken"; "fence" => orderer.lease.fence());
    let action = AuditAction::OrdererChanged {
        domain: node.place.domain.clone(),
        instance: node.id.name.clone(),
        fence: orderer.lease.fence(),
    };
    orderer.record(audit, action);
    let mut settled = true;
    for engine in engines {
        settled &= settle(node, audit, &mut orderer, engine).await;
    }
    let _ = node.platform.end_lease(orderer.id).await;
    settled
}

async fn take_lease(node: &Node) -> Result<Orderer, PlatformError> {
    let id = node.platform.grant_lease(LEASE_TTL).await?;
    let key = format!("orders/{}", node.place.domain);
    let asked_at = clock::now();
    // The incarnation and the lease make the value unique, so a lost answer can be read back.
    let value = format!("{} {id}", node.id);
    let created = node
        .platform
        .compare_and_swap_verified(&key, value.as_bytes(), Revision(0), Some(id))
        .await;
    match created {
        Ok(revision) => Ok(Orderer {
            lease: OrderLease::new(revision.0, LEASE_TTL, asked_at, clock::now()),
            id,
            renew_at: asked_at + RENEW_INTERVAL,
            recorded: 0,
        }),
        Err(error) => {
            let _ = node.platform.end_lease(id).await;
            Err(error)
        }
    }
}

async fn settle(
    node: &Node,
    audit: &OrderAudit,
    orderer: &mut Orderer,
    mut engine: Engine,
) -> bool {
    loop {
        renew(node, orderer).await;
        match engine.plan.next_step(&orderer.lease, clock::now()) {
            OrderStep::Complete => return true,
            OrderStep::Stop => {
                warn!(node.log.orders, "orders stopped"; "server" => %engine.server.name);
                return false;
            }
            OrderStep::WaitUntil(until) => {
                // Short waits, so that the lease is renewed meanwhile.
                tokio::time::sleep(until.since(clock::now()).min(RENEW_INTERVAL)).await;
            }
            OrderStep::ListOrders => {
                tokio::time::sleep(READ_BACK_INTERVAL).await;
                match node.backends.orders(engine.server.address).await {
                    Ok(list) => engine.plan.record_list(list),
                    Err(_) if !is_wanted(node, &engine.server) => return true,
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
            OrderStep::Send(order) => {
                let action = AuditAction::OrderSent {
                    server: engine.server.name.clone(),
                    kind: order.kind,
                    model: order.model.clone(),
                    fence: order.fence,
                };
                if send(node, &mut engine, order).await {
                    orderer.record(audit, action);
                }
            }
        }
    }
}

fn is_wanted(node: &Node, server: &BackendServer) -> bool {
    node.bundle
        .active()
        .is_some_and(|active| active.bundle().backends.get(&server.name) == Some(server))
}

/// Sends an order and returns whether the engine may have received it.
async fn send(node: &Node, engine: &mut Engine, order: OrderRequest) -> bool {
    let answer = node.backends.order(engine.server.address, &order).await;
    let server = &engine.server.name;
    let may_have_arrived = match &answer {
        Ok(_) => true,
        Err(error) => error.execution() != Execution::NotRun,
    };
    match answer {
        Ok(OrderResponse::Accepted) => {
            info!(node.log.orders, "order sent"; "server" => %server, "model" => &order.model);
        }
        Ok(OrderResponse::Fenced) => {
            warn!(node.log.orders, "order fenced off"; "server" => %server);
        }
        Err(error) => {
            warn!(node.log.orders, "order failed"; "server" => %server, "error" => %error);
        }
    }
    engine.plan.record_sent(order, clock::now());
    may_have_arrived
}

async fn renew(node: &Node, orderer: &mut Orderer) {
    let asked_at = clock::now();
    if asked_at < orderer.renew_at {
        return;
    }
    if node.platform.renew_lease(orderer.id).await.is_ok() {
        orderer.lease.record_renewal(asked_at);
        orderer.renew_at = asked_at + RENEW_INTERVAL;
    }
}
