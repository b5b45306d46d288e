//! Report of an instance on the fleet.

use hawthornquay_decisions::{DomainName, InstanceName, MemberState, RegionName};
use serde::{Deserialize, Serialize};

use crate::{Node, clock};

/// State of one instance and of the other members of the fleet in its member table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetReport {
    /// Instance that made the report.
    pub instance: InstanceName,
    /// Version of the bundle in force on it; 0 if there is none.
    pub bundle_version: u64,
    /// Requests in flight on it.
    pub requests_in_flight: usize,
    /// Bytes of control traffic on its links to other instances, sent and received.
    pub control_bytes: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Other members, ordered by name.
    pub members: Vec<FleetMember>,
}

/// Another member of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetMember {
    /// Name.
    pub name: InstanceName,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// State: `live`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// Version of its bundle according to the last digest.
    pub bundle_version: u64,
}

impl FleetReport {
    /// Returns the report of an instance.
    pub fn of(node: &Node) -> Self {
        let members = node.members.lock();
        let now = clock::now();
        let mut listed: Vec<FleetMember> = members
            .others()
            .map(|member| FleetMember {
                name: member.record.name.clone(),
                region: member.record.region.clone(),
                domain: member.record.domain.clone(),
                state: state_name(members.state_of(member, now)).to_owned(),
                bundle_version: member.bundle_version,
            })
            .collect();
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            instance: node.id.name.clone(),
            bundle_version: node.bundle.version(),
            requests_in_flight: node.drain.in_flight(),
            control_bytes: node.control_bytes(),
            leaving: node.drain.is_closing(),
            members: listed,
        }
    }
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Gone => "gone",
    }
}
