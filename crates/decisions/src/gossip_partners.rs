//! Selection of gossip partners.

use crate::{
    GossipSettings, InstanceName, InstanceRecord, MemberState, MemberTable, MonotonicTime,
};

/// Mean number of rounds per probe, which is a digest to one suspect member.
///
/// After a partition, members on both sides suspect each other and exchange no other digests. Only
/// such a probe ends the mutual suspicion.
const MEAN_ROUNDS_PER_SUSPECT_PROBE: u64 = 5;

/// Members that this instance sends digests to; they are replaced one at a time.
#[derive(Clone, Debug)]
pub struct GossipPartners {
    settings: GossipSettings,
    same_domain: Vec<InstanceName>,
    other_domains: Vec<InstanceName>,
    last_rotation: MonotonicTime,
    /// Whether the last rotation replaced a partner in another failure domain.
    last_rotated_other_domains: bool,
}

impl GossipPartners {
    /// Returns a selection without partners.
    pub const fn new(settings: GossipSettings, now: MonotonicTime) -> Self {
        Self {
            settings,
            same_domain: Vec::new(),
            other_domains: Vec::new(),
            last_rotation: now,
            last_rotated_other_domains: false,
        }
    }

    /// Returns the members that receive a digest in this round; called once per second.
    ///
    /// These are the successor by name in this failure domain, the randomly chosen partners and,
    /// in some rounds, one suspect member.
    pub fn choose(
        &mut self,
        now: MonotonicTime,
        table: &MemberTable,
        mut random: impl FnMut() -> u64,
    ) -> Vec<InstanceName> {
        let members = u32::try_from(table.others().count()).unwrap_or(u32::MAX);
        if now.since(self.last_rotation)
            >= self
                .settings
                .rotation_interval_per_member
                .saturating_mul(members)
        {
            self.last_rotation = now;
            self.remove_oldest();
        }
        let (mut same_domain, other_domains) =
            candidates_by_domain(now, table, MemberState::receives_digests);
        let successor = take_successor(&mut same_domain, &table.own_record().name);
        let random_same_domain = self.settings.same_domain_partners.saturating_sub(1);
        refill(
            &mut self.same_domain,
            same_domain,
            random_same_domain,
            &mut random,
        );
        refill(
            &mut self.other_domains,
            other_domains,
            self.settings.other_domain_partners,
            &mut random,
        );
        let mut chosen = [successor.as_slice(), &self.same_domain, &self.other_domains].concat();
        if random().is_multiple_of(MEAN_ROUNDS_PER_SUSPECT_PROBE) {
            let (same_domain, other_domains) =
                candidates_by_domain(now, table, |state| state == MemberState::Suspect);
            chosen.extend(remove_random(
                &mut [same_domain, other_domains].concat(),
                &mut random,
            ));
        }
        chosen
    }

    /// Removes a partner whose link failed; the next round replaces it.
    pub fn remove_partner(&mut self, name: &InstanceName) {
        self.same_domain.retain(|partner| partner != name);
        self.other_domains.retain(|partner| partner != name);
    }

    fn remove_oldest(&mut self) {
        self.last_rotated_other_domains = !self.last_rotated_other_domains;
        let group = if self.last_rotated_other_domains {
            &mut self.other_domains
        } else {
            &mut self.same_domain
        };
        if !group.is_empty() {
            group.remove(0);
        }
    }
}

/// Removes and returns the candidate that follows `own` by name; the first name follows the last.
///
/// With random partners alone, one member in twenty is a partner of no other member. This lasts,
/// because partners are kept for long. Sending to the successor as well ensures that every member
/// receives digests.
fn take_successor(candidates: &mut Vec<InstanceName>, own: &InstanceName) -> Option<InstanceName> {
    if candidates.is_empty() {
        return None;
    }
    let next = candidates.partition_point(|name| name < own);
    Some(candidates.remove(next % candidates.len()))
}

fn candidates_by_domain(
    now: MonotonicTime,
    table: &MemberTable,
    includes: impl Fn(MemberState) -> bool,
) -> (Vec<InstanceName>, Vec<InstanceName>) {
    let own_domain = &table.own_record().domain;
    let (same_domain, other_domains): (Vec<_>, Vec<_>) = table
        .others()
        .filter(|member| includes(table.state_of(member, now)))
        .map(|member| &member.record)
        .partition(|record| record.domain == *own_domain);
    let names =
        |records: Vec<&InstanceRecord>| records.iter().map(|record| record.name.clone()).collect();
    (names(same_domain), names(other_domains))
}

fn refill(
    partners: &mut Vec<InstanceName>,
    mut candidates: Vec<InstanceName>,
    target_count: usize,
    random: &mut impl FnMut() -> u64,
) {
    partners.retain(|partner| candidates.contains(partner));
    candidates.retain(|candidate| !partners.contains(candidate));
    while partners.len() < target_count {
        let Some(partner) = remove_random(&mut candidates, random) else {
            return;
        };
        partners.push(partner);
    }
}

fn remove_random(
    candidates: &mut Vec<InstanceName>,
    random: &mut impl FnMut() -> u64,
) -> Option<InstanceName> {
    let len = u64::try_from(candidates.len())
        .ok()
        .filter(|&len| len > 0)?;
    let index = usize::try_from(random() % len).ok()?;
    Some(candidates.swap_remove(index))
}
