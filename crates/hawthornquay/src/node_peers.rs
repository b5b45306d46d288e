//! Selection of other instances and their addresses.

use hawthornquay_callers::CallerKey;
use hawthornquay_decisions::{
    CallerListEntry, DomainName, InstanceId, InstanceName, MemberState, Organisation, RequestId,
    Residency, Set, caller_list,
};
use hawthornquay_instances::PeerAddress;
use hawthornquay_operators::caller_key_digest;

use crate::{Node, clock, serving_instance::ServingInstance};

impl Node {
    /// Returns the instances that a caller may use, in the order in which to try them.
    ///
    /// Within each failure domain, the holder of the organisation's slot comes first.
    pub fn caller_list(
        &self,
        residency: &Residency,
        organisation: Option<&Organisation>,
    ) -> Vec<CallerListEntry> {
        let members = self.members.lock();
        let holders = organisation.map_or_else(Set::default, |organisation| {
            let limits = self.limits.lock();
            let own = limits.slot_holder(&organisation.id).cloned();
            let lenders = limits.lender_groups(&organisation.id).into_iter().flatten();
            own.into_iter()
                .chain(lenders.map(|(_, id)| id))
                .map(|id| id.name)
                .collect()
        });
        caller_list(&members, clock::now(), residency, &holders, rand::random())
    }

    /// Returns the instances that the organisation of `key` may use.
    ///
    /// Without a known key, the list is not restricted by residency.
    pub fn caller_list_for(&self, key: Option<&CallerKey>) -> Vec<CallerListEntry> {
        let bundle = self.bundle.active();
        let organisation = bundle.as_ref().zip(key).and_then(|(bundle, key)| {
            let digest = caller_key_digest(&bundle.bundle().key_salt, key.expose_secret());
            bundle.bundle().organisation_of(&digest)
        });
        let residency = organisation.map_or(&Residency::Any, |found| &found.residency);
        self.caller_list(residency, organisation)
    }

    /// Returns the address of the process `id`, or `None` if its instance is not a member.
    pub fn peer_address(&self, id: &InstanceId) -> Option<PeerAddress> {
        let members = self.members.lock();
        let member = members.get(&id.name)?;
        Some(PeerAddress {
            name: id.name.clone(),
            address: member.record.peers,
            incarnation: Some(id.incarnation),
        })
    }

    /// Returns the address of an instance, whatever its incarnation, or `None` if it is not a
    /// member.
    pub fn peer_named(&self, name: &InstanceName) -> Option<PeerAddress> {
        let members = self.members.lock();
        let member = members.get(name)?;
        Some(PeerAddress::new(name.as_str(), member.record.peers))
    }

    /// Returns the other instances of this failure domain, whatever their state.
    pub fn domain_peers(&self) -> Vec<PeerAddress> {
        let members = self.members.lock();
        members
            .others()
            .filter(|member| member.record.domain == self.location.domain)
            .map(|member| PeerAddress::new(member.record.name.as_str(), member.record.peers))
            .collect()
    }

    /// Returns a random suspect instance of this failure domain.
    pub fn suspect_domain_peer(&self) -> Option<PeerAddress> {
        let members = self.members.lock();
        let now = clock::now();
        let mut suspects: Vec<PeerAddress> = members
            .others()
            .filter(|member| member.record.domain == self.location.domain)
            .filter(|member| members.state_of(member, now) == MemberState::Suspect)
            .map(|member| PeerAddress::new(member.record.name.as_str(), member.record.peers))
            .collect();
        if suspects.is_empty() {
            return None;
        }
        Some(suspects.swap_remove(rand::random_range(0..suspects.len())))
    }

    /// Returns a random live instance of a failure domain.
    pub fn peer_in_domain(&self, domain: &DomainName) -> Option<PeerAddress> {
        let members = self.members.lock();
        let now = clock::now();
        let mut peers: Vec<PeerAddress> = members
            .others()
            .filter(|member| member.record.domain == *domain)
            .filter(|member| members.state_of(member, now) == MemberState::Live)
            .map(|member| PeerAddress::new(member.record.name.as_str(), member.record.peers))
            .collect();
        if peers.is_empty() {
            return None;
        }
        Some(peers.swap_remove(rand::random_range(0..peers.len())))
    }

    /// Returns the instance that served a request, as far as the member table identifies it.
    pub fn serving_instance_of(&self, id: &RequestId) -> ServingInstance {
        let process = id.as_str().rsplit_once('-').map(|(process, _)| process);
        let Some((name, incarnation)) = process.and_then(|process| process.rsplit_once('-')) else {
            return ServingInstance::Ended;
        };
        if name == self.id.name.as_str() {
            return ServingInstance::Ended;
        }
        let members = self.members.lock();
        let Some(member) = members.get(&InstanceName::new(name)) else {
            return ServingInstance::Unlisted;
        };
        let current = member
            .incarnation
            .is_none_or(|known| known.to_string() == incarnation);
        if current {
            ServingInstance::Running(member.record.callers)
        } else {
            ServingInstance::Ended
        }
    }
}
