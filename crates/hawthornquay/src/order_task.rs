//! Background task that sends orders to the model engines of this failure domain.

use std::{sync::Arc, time::Duration};

use hawthornquay_backends::OrderResponse;
use hawthornquay_decisions::{
    BackendKind, BackendServer, Execution, MonotonicTime, OrderKind, OrderLease, OrderPlan,
    OrderRequest, OrderStep,
};
use hawthornquay_operators::AuditAction;
use hawthornquay_store::{LeaseId, PlatformError, StoreRevision};
use slog::{info, warn};

use crate::{Node, OrderAudit, clock};

/// Time between two checks of the engines' models while the bundle does not change.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Interval at which the task evaluates whether a check is due.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Lifetime of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between two renewals of the lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before an engine's list of orders is read.
const READ_BACK_DELAY: Duration = Duration::from_millis(250);

/// Delay after an incomplete check or a failed read of an engine's list.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Engine with the plan of its orders.
struct Engine {
    server: BackendServer,
    plan: OrderPlan,
}

/// Engines of the failure domain that have not loaded all their models.
struct MissingModels {
    engines: Vec<Engine>,
    /// Whether the loaded models of every engine could be read.
    all_read: bool,
}

/// Lease that makes this instance the only one that sends orders in its failure domain.
struct Orderer {
    lease: OrderLease,
    id: LeaseId,
    renew_at: MonotonicTime,
    /// Number of audit records under this lease.
    recorded: u64,
}

impl Orderer {
    fn record(&mut self, audit: &OrderAudit, action: AuditAction) {
        audit.record(self.lease.fence(), self.recorded, action);
        self.recorded += 1;
    }
}

/// Orders engines to load the models that the bundle lists for them and they lack, for as long as
/// the process runs.
pub async fn run_orders(node: Arc<Node>) {
    let audit = OrderAudit::start(&node);
    let mut last_check: Option<(u64, MonotonicTime)> = None;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = clock::now();
        let version = node.bundle.version();
        let due =
            last_check.is_none_or(|(known, at)| known != version || now.since(at) > CHECK_INTERVAL);
        if version == 0
            || !due
            || !node.members.lock().is_domain_leader(now)
            || node.drain.is_closing()
        {
            continue;
        }
        let missing_models = find_missing_models(&node).await;
        let complete = missing_models.engines.is_empty()
            || send_orders(&node, &audit, missing_models.engines).await;
        // Several instances may consider themselves leader; only the holder of the lease sends
        // orders. An incomplete check is therefore repeated.
        if complete && missing_models.all_read {
            last_check = Some((version, now));
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn find_missing_models(node: &Node) -> MissingModels {
    let mut missing_models = MissingModels {
        engines: Vec::new(),
        all_read: true,
    };
    let Some(bundle) = node.bundle.active() else {
        return missing_models;
    };
    for server in bundle.bundle().backends.values() {
        let BackendKind::ModelEngine { models } = &server.kind else {
            continue;
        };
        if server.domain != node.location.domain {
            continue;
        }
        let loaded = match node.backends.models(server.address).await {
            Ok(loaded) => loaded,
            Err(error) => {
                warn!(
                    node.log.orders, "models of an engine not read, will retry";
                    "server" => %server.name, "error" => %error,
                );
                missing_models.all_read = false;
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
            missing_models.engines.push(Engine {
                server: server.clone(),
                plan,
            });
        }
    }
    missing_models
}

/// Acquires the lease and runs the plans of the engines; returns whether all plans are complete.
async fn send_orders(node: &Node, audit: &OrderAudit, engines: Vec<Engine>) -> bool {
    let mut orderer = match acquire_lease(node).await {
        Ok(orderer) => orderer,
        Err(error) => {
            info!(node.log.orders, "order lease not acquired"; "error" => %error);
            return false;
        }
    };
    info!(node.log.orders, "order lease acquired"; "fence" => orderer.lease.fence());
    let action = AuditAction::OrdererChanged {
        domain: node.location.domain.clone(),
        instance: node.id.name.clone(),
        fence: orderer.lease.fence(),
    };
    orderer.record(audit, action);
    let mut complete = true;
    for engine in engines {
        complete &= run_plan(node, audit, &mut orderer, engine).await;
    }
    let _ = node.platform.end_lease(orderer.id).await;
    complete
}

async fn acquire_lease(node: &Node) -> Result<Orderer, PlatformError> {
    let id = node.platform.grant_lease(LEASE_TTL).await?;
    let key = format!("orders/{}", node.location.domain);
    let requested_at = clock::now();
    // The incarnation and the lease make the value unique. If the answer is lost, a read of the key
    // shows whether the write took effect.
    let value = format!("{} {id}", node.id);
    let created = node
        .platform
        .compare_and_swap_verified(&key, value.as_bytes(), StoreRevision::ABSENT, Some(id))
        .await;
    match created {
        Ok(revision) => Ok(Orderer {
            lease: OrderLease::new(
                revision.fencing_number(),
                LEASE_TTL,
                requested_at,
                clock::now(),
            ),
            id,
            renew_at: requested_at + LEASE_RENEWAL_INTERVAL,
            recorded: 0,
        }),
        Err(error) => {
            let _ = node.platform.end_lease(id).await;
            Err(error)
        }
    }
}

/// Sends the orders of one engine; returns whether its plan is complete.
///
/// The plan of an unreachable engine that is no longer in the bundle counts as complete.
async fn run_plan(
    node: &Node,
    audit: &OrderAudit,
    orderer: &mut Orderer,
    mut engine: Engine,
) -> bool {
    loop {
        renew_if_due(node, orderer).await;
        match engine.plan.next_step(&orderer.lease, clock::now()) {
            OrderStep::Complete => return true,
            OrderStep::Stop => {
                warn!(node.log.orders, "orders stopped, lease is no longer held"; "server" => %engine.server.name);
                return false;
            }
            OrderStep::WaitUntil(until) => {
                // The wait is split, so that the lease is renewed in between.
                tokio::time::sleep(until.since(clock::now()).min(LEASE_RENEWAL_INTERVAL)).await;
            }
            OrderStep::ListOrders => {
                tokio::time::sleep(READ_BACK_DELAY).await;
                match node.backends.orders(engine.server.address).await {
                    Ok(list) => engine.plan.record_list(list),
                    Err(_) if !is_configured(node, &engine.server) => return true,
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
                if send_order(node, &mut engine, order).await {
                    orderer.record(audit, action);
                }
            }
        }
    }
}

/// Returns whether the bundle in force contains the server unchanged.
fn is_configured(node: &Node, server: &BackendServer) -> bool {
    node.bundle
        .active()
        .is_some_and(|active| active.bundle().backends.get(&server.name) == Some(server))
}

/// Sends an order and returns whether the engine may have received it.
async fn send_order(node: &Node, engine: &mut Engine, order: OrderRequest) -> bool {
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
            warn!(node.log.orders, "order rejected, its fencing number is outdated"; "server" => %server);
        }
        Err(error) => {
            warn!(node.log.orders, "order not confirmed"; "server" => %server, "error" => %error);
        }
    }
    engine.plan.record_sent(order, clock::now());
    may_have_arrived
}

async fn renew_if_due(node: &Node, orderer: &mut Orderer) {
    let requested_at = clock::now();
    if requested_at < orderer.renew_at {
        return;
    }
    if node.platform.renew_lease(orderer.id).await.is_ok() {
        orderer.lease.record_renewal(requested_at);
        orderer.renew_at = requested_at + LEASE_RENEWAL_INTERVAL;
    }
}
