//! Conversion of views to and from the messages between instances.

use std::time::Duration;

use hawthornquay_decisions::{InstanceId, Map, MonotonicTime, OrganisationId, ServiceName};
use hawthornquay_instances::{
    ColdServerRecord, InstanceEntry, InstanceListChanges, LeavingServerRecord, OrganisationDemand,
    ServerLimitRecord, ServerListChanges, ServerRecord, ServerUse, ServiceAdmissions,
};
use hawthornquay_traffic::{
    Admissions, BackendEntry, ColdServer, InstanceChanges, LeavingServer, ListedInstance,
    ServerChanges, ServerLimit, ServerUsage, StoreRevision,
};

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time `age_ms` milliseconds before `now`.
pub(crate) fn time_before(now: MonotonicTime, age_ms: u64) -> MonotonicTime {
    MonotonicTime(now.0.saturating_sub(age_ms.saturating_mul(1_000)))
}

pub(crate) fn server_record(entry: &BackendEntry) -> ServerRecord {
    ServerRecord {
        id: entry.id.to_string(),
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        domain: entry.domain.to_string(),
        slots: entry.slots,
        leaving: entry.leaving,
        cold_ms: millis(entry.cold_remaining),
        started_ms: entry.started_ms,
    }
}

/// Decodes a backend server; `None` if its address is malformed.
pub(crate) fn backend_entry(record: &ServerRecord) -> Option<BackendEntry> {
    Some(BackendEntry {
        id: record.id.as_str().into(),
        service: record.service.as_str().into(),
        address: record.address.parse().ok()?,
        domain: record.domain.as_str().into(),
        slots: record.slots,
        leaving: record.leaving,
        cold_remaining: Duration::from_millis(record.cold_ms),
        started_ms: record.started_ms,
    })
}

pub(crate) fn instance_entry(instance: &ListedInstance) -> InstanceEntry {
    InstanceEntry {
        name: instance.id.name.to_string(),
        incarnation: instance.id.incarnation.0,
        region: instance.region.to_string(),
        domain: instance.domain.to_string(),
        peers: instance.peer_address.to_string(),
        callers: instance.caller_address.to_string(),
        link_mbps: instance.link_mbps,
    }
}

/// Decodes an instance; `None` if an address is malformed.
pub(crate) fn listed_instance(entry: &InstanceEntry) -> Option<ListedInstance> {
    Some(ListedInstance {
        id: InstanceId::new(&entry.name, entry.incarnation),
        region: entry.region.as_str().into(),
        domain: entry.domain.as_str().into(),
        peer_address: entry.peers.parse().ok()?,
        caller_address: entry.callers.parse().ok()?,
        link_mbps: entry.link_mbps,
    })
}

pub(crate) fn server_use(usage: &ServerUsage) -> ServerUse {
    ServerUse {
        server: usage.id.to_string(),
        requests: usage.requests,
        pending_tokens: usage.pending_tokens,
    }
}

pub(crate) fn server_usage(server_use: &ServerUse) -> ServerUsage {
    ServerUsage {
        id: server_use.server.as_str().into(),
        requests: server_use.requests,
        pending_tokens: server_use.pending_tokens,
    }
}

pub(crate) fn wire_server_changes(changes: &ServerChanges, age_ms: u64) -> ServerListChanges {
    ServerListChanges {
        base: changes.base.revision,
        revision: changes.revision.revision,
        era: changes.revision.era,
        age_ms,
        changed: changes.changed.iter().map(server_record).collect(),
        removed: changes.removed.iter().map(ToString::to_string).collect(),
    }
}

pub(crate) fn server_changes(wire: &ServerListChanges) -> ServerChanges {
    ServerChanges {
        base: StoreRevision::new(wire.era, wire.base),
        revision: StoreRevision::new(wire.era, wire.revision),
        changed: wire.changed.iter().filter_map(backend_entry).collect(),
        removed: wire.removed.iter().map(|id| id.as_str().into()).collect(),
    }
}

pub(crate) fn wire_instance_changes(changes: &InstanceChanges) -> InstanceListChanges {
    InstanceListChanges {
        base: changes.base.revision,
        revision: changes.revision.revision,
        era: changes.revision.era,
        changed: changes.changed.iter().map(instance_entry).collect(),
        removed: changes.removed.iter().map(ToString::to_string).collect(),
    }
}

pub(crate) fn instance_changes(wire: &InstanceListChanges) -> InstanceChanges {
    InstanceChanges {
        base: StoreRevision::new(wire.era, wire.base),
        revision: StoreRevision::new(wire.era, wire.revision),
        changed: wire.changed.iter().filter_map(listed_instance).collect(),
        removed: wire
            .removed
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
    }
}

pub(crate) fn wire_demands<'a>(
    demands: impl Iterator<Item = (&'a OrganisationId, f64)>,
) -> Vec<OrganisationDemand> {
    demands
        .map(|(id, rate)| OrganisationDemand {
            organisation: id.to_string(),
            tokens_per_s: rate.round() as u64,
        })
        .collect()
}

pub(crate) fn demand_map(demands: &[OrganisationDemand]) -> Map<OrganisationId, f64> {
    demands
        .iter()
        .map(|demand| {
            let id = OrganisationId::new(&demand.organisation);
            (id, demand.tokens_per_s as f64)
        })
        .collect()
}

pub(crate) fn wire_admissions(
    (service, admissions): (&ServiceName, &Admissions),
) -> ServiceAdmissions {
    ServiceAdmissions {
        service: service.to_string(),
        accepted: admissions.accepted,
        rejected: admissions.rejected,
    }
}

pub(crate) fn admission_map(rows: &[ServiceAdmissions]) -> Map<ServiceName, Admissions> {
    rows.iter()
        .map(|row| {
            let admissions = Admissions {
                accepted: row.accepted,
                rejected: row.rejected,
            };
            (row.service.as_str().into(), admissions)
        })
        .collect()
}

pub(crate) fn leaving_record(leaving: &LeavingServer) -> LeavingServerRecord {
    LeavingServerRecord {
        server: leaving.id.to_string(),
        started_ms: leaving.started_ms,
    }
}

pub(crate) fn leaving_server(record: &LeavingServerRecord) -> LeavingServer {
    LeavingServer {
        id: record.server.as_str().into(),
        started_ms: record.started_ms,
    }
}

pub(crate) fn limit_record(now: MonotonicTime, limit: &ServerLimit) -> ServerLimitRecord {
    ServerLimitRecord {
        server: limit.id.to_string(),
        started_ms: limit.started_ms,
        per_s: limit.per_s,
        age_ms: millis(now.since(limit.stated_at)),
        is_spent: limit.is_spent,
    }
}

pub(crate) fn server_limit(now: MonotonicTime, record: &ServerLimitRecord) -> ServerLimit {
    ServerLimit {
        id: record.server.as_str().into(),
        started_ms: record.started_ms,
        per_s: record.per_s,
        stated_at: time_before(now, record.age_ms),
        is_spent: record.is_spent,
    }
}

pub(crate) fn cold_record(cold: &ColdServer) -> ColdServerRecord {
    ColdServerRecord {
        server: cold.id.to_string(),
        started_ms: cold.started_ms,
        cold_ms: millis(cold.remaining),
    }
}

pub(crate) fn cold_server(record: &ColdServerRecord) -> ColdServer {
    ColdServer {
        id: record.server.as_str().into(),
        started_ms: record.started_ms,
        remaining: Duration::from_millis(record.cold_ms),
    }
}
