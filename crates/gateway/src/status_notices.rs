//! Exchange of state and load between instances.
//!
//! The leader of a region is the live instance with the fastest network link. The other instances of
//! the region send their state and load to it. It sends the sums back to them, and sends those of its region
//! to the leaders of the other regions. So no instance has to send to all others.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hawthornquay_decisions::{
    EvidenceScope, InstanceId, InstanceName, Map, MonotonicTime, RegionName,
};
use hawthornquay_instances::{Notice, RegionStatus, ServerUse, ServiceLoad, Status, ViewRequest};
use hawthornquay_traffic::{
    ListedInstance, PromiseScope, RegionReport, ServerUsage, ServiceReport, StoreRevision,
};

use crate::{
    ControlPlane, Gateway, HeaderMapping, InstanceReport,
    gateway::now,
    quarantine_update,
    view_notices::send_notice,
    wire_views::{
        admission_map, demand_map, leaving_record, leaving_server, limit_record, millis,
        server_limit, server_usage, server_use, time_before, wire_admissions, wire_demands,
    },
};

/// Age up to which the report of an instance is included in the sums of its region.
const MAX_REPORT_AGE_MS: u64 = 2_500;

/// Returns the leader of the region of this instance.
fn leader<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
) -> Option<ListedInstance> {
    let instances = gateway.instances.lock();
    let leader = instances.leader_of(time, &gateway.settings.region, &gateway.id.name);
    leader.cloned()
}

/// Returns whether this instance is the leader of its region; never before it has a list of
/// instances.
pub(crate) fn is_leader<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
) -> bool {
    let instances = gateway.instances.lock();
    let (region, own) = (&gateway.settings.region, &gateway.id.name);
    !instances.revision().is_absent() && instances.is_leader(time, region, own)
}

/// Sends the state of this instance to the leader of its region. The leader itself sends the sums
/// to the instances of the region and to the leaders of the other regions.
pub(crate) async fn send_status<C: ControlPlane, H: HeaderMapping>(gateway: &Arc<Gateway<C, H>>) {
    let time = now();
    gateway.evaluate_quarantine(time);
    gateway.update_return_promises(time, gateway.region_instances().len());
    let own = own_status(gateway, time);
    let leads = is_leader(gateway, time);
    gateway.instances.lock().record_leadership(time, leads);
    if !leads {
        if let Some(leader) = leader(gateway, time) {
            let own = gateway.add_return_promises(own, time, PromiseScope::Own);
            send_notice(gateway, &leader, Notice::Status(own)).await;
        }
        return;
    }
    gateway.status_round.fetch_add(1, Ordering::Relaxed);
    update_offload(gateway, &own);
    let region = own_region_report(gateway, time, &own);
    let wire_region = wire_region(&gateway.settings.region, 0, &region);
    gateway
        .region_board
        .lock()
        .apply_report(&gateway.settings.region, time, region);
    let own = gateway.add_evidence(own, time, EvidenceScope::All);
    let region_uses = sum_server_usage(gateway, time, &own.uses);
    let to_members = Status {
        regions: region_statuses(gateway, time),
        region_uses,
        ..own.clone()
    };
    let to_members = gateway.add_return_promises(to_members, time, PromiseScope::Region);
    let to_leaders = Status {
        regions: vec![wire_region],
        uses: Vec::new(),
        server_limits: Vec::new(),
        ..own
    };
    for (receiver, status) in receivers(gateway, time, &to_members, &to_leaders) {
        let gateway = gateway.clone();
        // A receiver that cannot be reached must not delay the others.
        tokio::spawn(async move { send_notice(&gateway, &receiver, Notice::Status(status)).await });
    }
}

/// Notifies all instances that this one is stopping.
pub(crate) async fn send_leaving<C: ControlPlane, H: HeaderMapping>(gateway: &Arc<Gateway<C, H>>) {
    let status = own_status(gateway, now());
    let receivers: Vec<ListedInstance> = gateway.instances.lock().all().to_vec();
    let own = &gateway.id.name;
    for receiver in receivers.into_iter().filter(|one| one.id.name != *own) {
        let (gateway, status) = (gateway.clone(), status.clone());
        tokio::spawn(async move { send_notice(&gateway, &receiver, Notice::Status(status)).await });
    }
}

/// Applies a status notice of another instance.
pub(crate) async fn apply_status<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    from: &InstanceId,
    status: Status,
) {
    let time = now();
    gateway
        .instances
        .lock()
        .record_message(time, &from.name, from.incarnation.0, status.leaving);
    if status.region == gateway.settings.region.as_str() && status.regions.is_empty() {
        gateway
            .instance_reports
            .lock()
            .insert(from.name.clone(), instance_report(time, &status));
    }
    for region in &status.regions {
        let name = RegionName::new(&region.region);
        // The leader computes the report of its region itself.
        let is_computed_here = name == gateway.settings.region && is_leader(gateway, time);
        if !is_computed_here {
            let reported_at = time_before(time, region.age_ms);
            let report = region_report(region);
            gateway
                .region_board
                .lock()
                .apply_report(&name, reported_at, report);
        }
    }
    gateway.apply_quarantine_update(time, &quarantine_update(&status, time));
    gateway.apply_return_promises(time, &status);
    {
        let mut servers = gateway.servers.lock();
        for leaving in &status.leaving_servers {
            servers.apply_leaving(time, &leaving_server(leaving));
        }
        for limit in &status.server_limits {
            servers.apply_limit(time, &server_limit(time, limit));
        }
    }
    if !status.region_uses.is_empty() {
        apply_server_usage(gateway, time, &status.region_uses);
    }
    compare_views(gateway, from, time, &status).await;
}

/// Compares the view of this instance with that of another one: an equal view confirms that this
/// one is current, and a newer view is requested.
async fn compare_views<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    from: &InstanceId,
    time: MonotonicTime,
    status: &Status,
) {
    let mut behind = false;
    {
        let mut operators = gateway.operators.lock();
        let same_version = status.configuration_version == operators.version();
        let theirs = StoreRevision::new(status.operator_era, status.operator_revision);
        if same_version && theirs == operators.revision() {
            let read_at = time_before(time, status.operator_age_ms);
            operators.confirm(theirs, read_at);
        } else if status.configuration_version > operators.version()
            || theirs > operators.revision()
        {
            behind = true;
        }
    }
    {
        let mut servers = gateway.servers.lock();
        let read_at = time_before(time, status.servers_age_ms);
        let own = servers.revision();
        let theirs = StoreRevision::new(status.servers_era, status.servers_revision);
        let changed = StoreRevision::new(status.servers_era, status.servers_changed_revision);
        if theirs == own {
            servers.confirm(read_at);
        } else if is_unchanged(own, theirs, changed) {
            servers.confirm_revision(theirs, read_at);
        } else if theirs > own {
            behind = true;
        }
    }
    let theirs = StoreRevision::new(status.instances_era, status.instances_revision);
    let changed = StoreRevision::new(status.instances_era, status.instances_changed_revision);
    let read_at = status.instances_age_ms.map(|age| time_before(time, age));
    behind |= gateway.compare_instances(time, theirs, changed, read_at);
    if !behind {
        return;
    }
    let receiver = gateway.instances.lock().get(&from.name).cloned();
    if let Some(receiver) = receiver {
        let request = view_request(gateway);
        send_notice(gateway, &receiver, Notice::ViewRequest(request)).await;
    }
}

/// Returns whether the list of revision `own` has not changed up to the newer revision `theirs`.
///
/// `changed` is the revision of its last change, of the same era as `theirs`.
pub(crate) fn is_unchanged(
    own: StoreRevision,
    theirs: StoreRevision,
    changed: StoreRevision,
) -> bool {
    !changed.is_absent() && own >= changed && theirs > own
}

/// Returns a request for a view that is newer than that of this instance.
pub(crate) fn view_request<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
) -> ViewRequest {
    let (configuration_version, operators) = {
        let operators = gateway.operators.lock();
        (operators.version(), operators.revision())
    };
    let servers = gateway.servers.lock().revision();
    let instances = gateway.instances.lock().revision();
    ViewRequest {
        configuration_version,
        operator_era: operators.era,
        operator_revision: operators.revision,
        servers_era: servers.era,
        servers_revision: servers.revision,
        accepts_changes: true,
        accepts_compressed: true,
        instances_era: instances.era,
        instances_revision: instances.revision,
    }
}

fn own_status<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
) -> Status {
    let request = view_request(gateway);
    let demands = gateway.limits.lock().publish_demand(time);
    let operator_age = gateway.operators.lock().age(time);
    // Takes one lock at a time. A lock taken within the struct expression below would be held until
    // the end of the expression.
    let (servers_age, servers_changed, usage, admissions, leaving, limits) = {
        let mut servers = gateway.servers.lock();
        let (age, changed) = (servers.age(time), servers.changed_revision());
        let leaving = servers.announced_leaving(time);
        let (usage, admissions) = (servers.own_usage(), servers.take_admissions());
        let limits = servers.limits_to_report(time);
        (age, changed, usage, admissions, leaving, limits)
    };
    let (instances_changed, instances_age) = {
        let instances = gateway.instances.lock();
        (instances.changed_revision(), instances.age(time))
    };
    let status = Status {
        region: gateway.settings.region.to_string(),
        domain: gateway.settings.domain.to_string(),
        leaving: gateway.is_leaving(),
        configuration_version: request.configuration_version,
        operator_era: request.operator_era,
        operator_revision: request.operator_revision,
        operator_age_ms: operator_age.map_or(u64::MAX, millis),
        servers_era: request.servers_era,
        servers_revision: request.servers_revision,
        servers_age_ms: servers_age.map_or(u64::MAX, millis),
        demands: wire_demands(demands.iter().map(|(id, rate)| (id, *rate))),
        uses: usage.iter().map(server_use).collect(),
        servers_changed_revision: servers_changed.revision,
        instances_era: request.instances_era,
        instances_revision: request.instances_revision,
        instances_changed_revision: instances_changed.revision,
        instances_age_ms: instances_age.map(millis),
        admissions: admissions.iter().map(wire_admissions).collect(),
        leaving_servers: leaving.iter().map(leaving_record).collect(),
        server_limits: limits
            .iter()
            .map(|limit| limit_record(time, limit))
            .collect(),
        ..Status::default()
    };
    gateway.add_evidence(status, time, EvidenceScope::Local)
}

/// Adapts the share of the region's requests that go to other regions to the admissions that its
/// instances have reported since the last call.
fn update_offload<C: ControlPlane, H: HeaderMapping>(gateway: &Gateway<C, H>, own: &Status) {
    let mut sums = admission_map(&own.admissions);
    for report in gateway.instance_reports.lock().values_mut() {
        for (service, admissions) in report.admissions.drain() {
            sums.entry(service).or_default().add(admissions);
        }
    }
    gateway.offload.lock().update(&sums);
}

/// Returns the summed demand and the service loads of the region of this instance.
fn own_region_report<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
    own: &Status,
) -> RegionReport {
    let mut demands = demand_map(&own.demands);
    for report in current_reports(gateway, time).values() {
        for (id, rate) in &report.demands {
            *demands.entry(id.clone()).or_default() += rate;
        }
    }
    let mut services = gateway
        .servers
        .lock()
        .service_reports(time, |domain| gateway.is_local(domain));
    let offload = gateway.offload.lock();
    for (service, report) in &mut services {
        report.offload_permille = (offload.share(service) * 1_000.0) as u32;
    }
    drop(offload);
    RegionReport { demands, services }
}

/// Sums the work of all instances of the region at each backend server, and stores the sums of the
/// other instances for placement.
fn sum_server_usage<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
    own: &[ServerUse],
) -> Vec<ServerUse> {
    let mut sums: Map<String, ServerUsage> = Map::default();
    for report in current_reports(gateway, time).values() {
        report
            .usage
            .iter()
            .for_each(|usage| add_usage(&mut sums, usage));
    }
    let others: Vec<ServerUsage> = sums.values().cloned().collect();
    let peers = peer_count(gateway);
    gateway
        .servers
        .lock()
        .apply_peer_usage(time, peers, &others);
    for usage in own.iter().map(server_usage) {
        add_usage(&mut sums, &usage);
    }
    sums.values().map(server_use).collect()
}

fn add_usage(sums: &mut Map<String, ServerUsage>, usage: &ServerUsage) {
    let sum = sums
        .entry(usage.id.to_string())
        .or_insert_with(|| ServerUsage {
            requests: 0,
            pending_tokens: 0,
            ..usage.clone()
        });
    sum.requests += usage.requests;
    sum.pending_tokens += usage.pending_tokens;
}

/// Stores the sums of the region for placement, less the work of this instance.
fn apply_server_usage<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
    sums: &[ServerUse],
) {
    let peers = peer_count(gateway);
    let mut servers = gateway.servers.lock();
    let own: Map<String, ServerUsage> = servers
        .own_usage()
        .into_iter()
        .map(|usage| (usage.id.to_string(), usage))
        .collect();
    let others: Vec<ServerUsage> = sums
        .iter()
        .map(|sum| {
            let mut usage = server_usage(sum);
            if let Some(own) = own.get(&sum.server) {
                usage.requests = usage.requests.saturating_sub(own.requests);
                usage.pending_tokens = usage.pending_tokens.saturating_sub(own.pending_tokens);
            }
            usage
        })
        .collect();
    servers.apply_peer_usage(time, peers, &others);
}

/// Returns the number of other instances of the region.
fn peer_count<C: ControlPlane, H: HeaderMapping>(gateway: &Gateway<C, H>) -> u32 {
    let others = gateway.region_instances().len() - 1;
    u32::try_from(others).unwrap_or(u32::MAX)
}

/// Discards expired reports and returns the others.
fn current_reports<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
) -> Map<InstanceName, InstanceReport> {
    let mut reports = gateway.instance_reports.lock();
    reports.retain(|_, report| millis(time.since(report.received_at)) <= MAX_REPORT_AGE_MS);
    reports.clone()
}

/// Returns the receivers of a leader's status notices, each with its notice.
fn receivers<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
    to_members: &Status,
    to_leaders: &Status,
) -> Vec<(ListedInstance, Status)> {
    let own = &gateway.id.name;
    let mut receivers: Vec<(ListedInstance, Status)> = {
        let instances = gateway.instances.lock();
        instances
            .status_receivers_in(time, &gateway.settings.region)
            .filter(|instance| instance.id.name != *own)
            .map(|instance| (instance.clone(), to_members.clone()))
            .collect()
    };
    for region in &gateway.regions {
        if *region == gateway.settings.region {
            continue;
        }
        let round = gateway.status_round.load(Ordering::Relaxed);
        let instances = gateway.instances.lock();
        for contact in instances.leader_candidates_in(time, region, round) {
            receivers.push((contact.clone(), to_leaders.clone()));
        }
    }
    receivers
}

fn region_statuses<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    time: MonotonicTime,
) -> Vec<RegionStatus> {
    let board = gateway.region_board.lock();
    board
        .reports()
        .map(|(name, at, report)| wire_region(name, millis(time.since(at)), report))
        .collect()
}

fn instance_report(time: MonotonicTime, status: &Status) -> InstanceReport {
    InstanceReport {
        received_at: time,
        demands: demand_map(&status.demands),
        usage: status.uses.iter().map(server_usage).collect(),
        admissions: admission_map(&status.admissions),
    }
}

fn wire_region(name: &RegionName, age_ms: u64, report: &RegionReport) -> RegionStatus {
    RegionStatus {
        region: name.to_string(),
        age_ms,
        demands: wire_demands(report.demands.iter().map(|(id, rate)| (id, *rate))),
        services: report
            .services
            .iter()
            .map(|(service, report)| ServiceLoad {
                service: service.to_string(),
                servers: report.servers,
                free_slots: report.free_slots,
                wait_ms: u32::try_from(report.expected_latency.as_millis()).unwrap_or(u32::MAX),
                offload_permille: report.offload_permille,
                event_interval_us: u32::try_from(report.event_interval.as_micros())
                    .unwrap_or(u32::MAX),
            })
            .collect(),
    }
}

fn region_report(region: &RegionStatus) -> RegionReport {
    RegionReport {
        demands: demand_map(&region.demands),
        services: region
            .services
            .iter()
            .map(|load| {
                let report = ServiceReport {
                    servers: load.servers,
                    free_slots: load.free_slots,
                    expected_latency: Duration::from_millis(load.wait_ms.into()),
                    offload_permille: load.offload_permille,
                    event_interval: Duration::from_micros(load.event_interval_us.into()),
                };
                (load.service.as_str().into(), report)
            })
            .collect(),
    }
}
