//! Choice of the members that digests go to.

use crate::{
    GossipSettings, InstanceName, InstanceRecord, MemberState, MemberTable, MonotonicTime,
};

/// One digest in this many goes to a suspect member as well.
///
/// After a partition both sides suspect each other, and only such a digest ends that.
const SUSPECT_PROBE_INTERVAL: u64 = 5;

/// Members that digests go to, replaced one at a time.
#[derive(Clone, Debug)]
pub struct GossipPartners {
    settings: GossipSettings,
    near: Vec<InstanceName>,
    far: Vec<InstanceName>,
    rotated: MonotonicTime,
    rotate_far: bool,
}

impl GossipPartners {
    /// Starts without partners.
    pub const fn new(settings: GossipSettings, now: MonotonicTime) -> Self {
        Self {
            settings,
            near: Vec::new(),
            far: Vec::new(),
            rotated: now,
            rotate_far: false,
        }
    }

    /// Returns the members that this second's digests go to.
    pub fn choose(
        &mut self,
        now: MonotonicTime,
        table: &MemberTable,
        mut random: impl FnMut() -> u64,
    ) -> Vec<InstanceName> {
        let members = u32::try_from(table.others().count()).unwrap_or(u32::MAX);
        if now.since(self.rotated)
            >= self
                .settings
                .rotation_interval_per_member
                .saturating_mul(members)
        {
            self.rotated = now;
            self.drop_oldest();
        }
        let (mut near, far) = candidates(now, table, MemberState::receives_digests);
        let successor = take_successor(&mut near, &table.own_record().name);
        let random_near = self.settings.same_domain_partners.saturating_sub(1);
        refill(&mut self.near, near, random_near, &mut random);
        refill(
            &mut self.far,
            far,
            self.settings.other_domain_partners,
            &mut random,
        );
        let mut chosen = [successor.as_slice(), &self.near, &self.far].concat();
        if random().is_multiple_of(SUSPECT_PROBE_INTERVAL) {
            let (near, far) = candidates(now, table, |state| state == MemberState::Suspect);
            chosen.extend(pick(&mut [near, far].concat(), &mut random));
        }
        chosen
    }

    /// Gives up a partner whose link failed.
    pub fn remove_partner(&mut self, name: &InstanceName) {
        self.near.retain(|partner| partner != name);
        self.far.retain(|partner| partner != name);
    }

    fn drop_oldest(&mut self) {
        self.rotate_far = !self.rotate_far;
        let group = if self.rotate_far {
            &mut self.far
        } else {
            &mut self.near
        };
        if !group.is_empty() {
            group.remove(0);
        }
    }
}

/// Takes the next member by name.
///
/// Partners drawn at random leave one member in twenty without any sender, and partners are kept
/// for long. As every member also sends to its successor, every member has a sender.
fn take_successor(candidates: &mut Vec<InstanceName>, own: &InstanceName) -> Option<InstanceName> {
    if candidates.is_empty() {
        return None;
    }
    let next = candidates.partition_point(|name| name < own);
    Some(candidates.remove(next % candidates.len()))
}

fn candidates(
    now: MonotonicTime,
    table: &MemberTable,
    wanted: impl Fn(MemberState) -> bool,
) -> (Vec<InstanceName>, Vec<InstanceName>) {
    let own_domain = &table.own_record().domain;
    let (near, far): (Vec<_>, Vec<_>) = table
        .others()
        .filter(|member| wanted(table.state_of(member, now)))
        .map(|member| &member.record)
        .partition(|record| record.domain == *own_domain);
    let names = |records: Vec<&InstanceRecord>| records.iter().map(|r| r.name.clone()).collect();
    (names(near), names(far))
}

fn refill(
    partners: &mut Vec<InstanceName>,
    mut candidates: Vec<InstanceName>,
    wanted: usize,
    random: &mut impl FnMut() -> u64,
) {
    partners.retain(|partner| candidates.contains(partner));
    candidates.retain(|candidate| !partners.contains(candidate));
    while partners.len() < wanted {
        let Some(partner) = pick(&mut candidates, random) else {
            return;
        };
        partners.push(partner);
    }
}

fn pick(
    candidates: &mut Vec<InstanceName>,
    random: &mut impl FnMut() -> u64,
) -> Option<InstanceName> {
    let len = u64::try_from(candidates.len())
        .ok()
        .filter(|&len| len > 0)?;
    let index = usize::try_from(random() % len).ok()?;
    Some(candidates.swap_remove(index))
}
