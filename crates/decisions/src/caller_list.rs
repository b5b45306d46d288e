//! Instances that a caller may use.

use std::{hash::Hasher, net::SocketAddr, time::Duration};

use rustc_hash::FxHasher;

use crate::{
    DomainName, InstanceName, InstanceRecord, MemberState, MemberTable, MonotonicTime, RegionName,
    Residency, Set,
};

/// Time for which a caller may use the list.
pub const CALLER_LIST_TTL: Duration = Duration::from_secs(5);

/// Instance in the list for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerListEntry {
    /// Name of the instance.
    pub name: InstanceName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// Returns the instances that a caller may use, the best first.
///
/// Suspect instances come last. Before them come the own failure domain, the own region and the
/// other regions. `holders` names the holders of the organisation's slot, who come first in their
/// domains. `spread` orders the other instances of a domain, so that callers do not all use one.
pub fn caller_list(
    table: &MemberTable,
    now: MonotonicTime,
    residency: &Residency,
    holders: &Set<InstanceName>,
    spread: u64,
) -> Vec<CallerListEntry> {
    let own = table.own_record();
    let members = table
        .others()
        .filter(|member| !member.is_leaving())
        .map(|member| (&member.record, table.state_of(member, now)))
        .chain([(own, table.own_state())]);
    let mut listed: Vec<_> = members
        .filter(|(record, state)| {
            matches!(state, MemberState::Live | MemberState::Suspect)
                && residency.allows(&record.region)
        })
        .map(|(record, state)| {
            let rank = (
                state == MemberState::Suspect,
                distance(own, record),
                &record.domain,
                !holders.contains(&record.name),
                spread_hash(&record.name, spread),
                &record.name,
            );
            (rank, record)
        })
        .collect();
    listed.sort_by_key(|(rank, _)| *rank);
    listed
        .into_iter()
        .map(|(_, record)| entry(record))
        .collect()
}

fn distance(own: &InstanceRecord, other: &InstanceRecord) -> u8 {
    if other.domain == own.domain {
        return 0;
    }
    if other.region == own.region { 1 } else { 2 }
}

fn spread_hash(name: &InstanceName, spread: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(spread);
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}

fn entry(record: &InstanceRecord) -> CallerListEntry {
    CallerListEntry {
        name: record.name.clone(),
        region: record.region.clone(),
        domain: record.domain.clone(),
        address: record.callers,
    }
}
