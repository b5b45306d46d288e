//! Caller list: the instances that a caller may use.

use std::{hash::Hasher, net::SocketAddr, time::Duration};

use rustc_hash::FxHasher;

use crate::{
    DomainName, InstanceName, InstanceRecord, MemberState, MemberTable, MonotonicTime, RegionName,
    Residency, Set,
};

/// Time for which a caller may cache the list.
pub const CALLER_LIST_TTL: Duration = Duration::from_secs(5);

/// One instance in a caller list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerListEntry {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub address: SocketAddr,
}

/// Returns the instances that a caller may use, in the order in which to try them.
///
/// The list contains the live and suspect members, and this instance unless it is leaving, in the
/// regions that `residency` allows. Live instances come before suspect ones. Within both groups,
/// this instance's failure domain comes first, then the rest of its region, then the other
/// regions, each sorted by failure domain. Within a domain, `slot_holders` come first, which are
/// the instances that hold the organisation's limit slots. `shuffle_seed` orders the other
/// instances of a domain, so that callers do not all use the same one.
pub fn caller_list(
    table: &MemberTable,
    now: MonotonicTime,
    residency: &Residency,
    slot_holders: &Set<InstanceName>,
    shuffle_seed: u64,
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
                distance_rank(own, record),
                &record.domain,
                !slot_holders.contains(&record.name),
                shuffle_hash(&record.name, shuffle_seed),
                &record.name,
            );
            (rank, record)
        })
        .collect();
    listed.sort_by_key(|(rank, _)| *rank);
    listed
        .into_iter()
        .map(|(_, record)| list_entry(record))
        .collect()
}

fn distance_rank(own: &InstanceRecord, other: &InstanceRecord) -> u8 {
    if other.domain == own.domain {
        return 0;
    }
    if other.region == own.region { 1 } else { 2 }
}

fn shuffle_hash(name: &InstanceName, seed: u64) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write_u64(seed);
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}

fn list_entry(record: &InstanceRecord) -> CallerListEntry {
    CallerListEntry {
        name: record.name.clone(),
        region: record.region.clone(),
        domain: record.domain.clone(),
        address: record.callers,
    }
}
