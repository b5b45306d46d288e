//! Reference bucket that the admissions of a simulated fleet are checked against.

use std::collections::BTreeMap;

use hawthornquay_decisions::{DomainName, InstanceName, LimitShare, OrganisationId, SlotIndex};

use super::limit_fleet::{Admission, DRIFT_PPM, Fleet, clock};

impl Fleet {
    /// Returns the tokens admitted for an organisation.
    pub fn admitted(&self, organisation: &OrganisationId) -> u64 {
        self.admissions
            .iter()
            .filter(|entry| entry.organisation == *organisation)
            .map(|entry| entry.amount / LimitShare::NANOTOKENS_PER_TOKEN)
            .sum()
    }

    /// Lets every instance that is awake read the slots, renew its loans and write its slots.
    pub fn tick(&mut self, fate: u8) {
        for index in 0..self.processes.len() {
            self.read_slots(index, 0);
            self.renew(index, fate);
            self.write_slots(index, 1_000);
            self.advance(2_000);
        }
    }

    /// Returns how many slots of a domain each instance holds in the store.
    pub fn slot_counts(&self, domain: &DomainName) -> BTreeMap<InstanceName, usize> {
        let mut counts = BTreeMap::new();
        for record in self.store.domains[domain].slots.values() {
            *counts.entry(record.holder.name.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether an instance of the domain may spend or lend the domain's share.
    pub fn has_limit(&self, domain: &DomainName, organisation: &OrganisationId) -> bool {
        self.processes
            .iter()
            .filter(|process| process.alive && process.domain == *domain)
            .any(|process| process.table.owned_share(organisation).rate > 0)
    }

    /// Checks that the fleet holds and could spend no more than the whole.
    pub fn check(&mut self, organisation: &OrganisationId) {
        let mut held = LimitShare::default();
        let mut level = 0_u64;
        for process in self.processes.iter_mut().filter(|process| process.alive) {
            let local = clock(process, self.now);
            held = held.saturating_add(process.table.held_share(organisation, local));
            level += process.table.available_nanotokens(organisation, local);
        }
        let slot = usize::from(SlotIndex::of(organisation).0);
        if let Some((_, lowest, highest)) = self.versions.last() {
            let limit = self.limit(organisation, lowest[slot], *highest);
            assert!(
                held.fits_in(limit),
                "{organisation}: {held:?} exceeds {limit:?}"
            );
        }
        // What could be spent now counts as an admission, or idle excess would go unseen.
        self.admissions.push(Admission {
            at: self.now,
            organisation: organisation.clone(),
            amount: level,
        });
        let excess = self.worst_excess(organisation);
        self.admissions.pop();
        assert_eq!(excess, 0, "{organisation}: nanotokens over burst + rate·t");
    }

    /// Returns the largest excess in nanotokens over any interval.
    ///
    /// A bucket with the rate and burst of the whole fleet, empty at the start, must cover every
    /// admission. While several versions may be in use, it has the highest of their rates.
    fn worst_excess(&self, organisation: &OrganisationId) -> u128 {
        let slot = usize::from(SlotIndex::of(organisation).0);
        let (mut level, mut at, mut worst) = (0_i128, 0_u64, 0_i128);
        let mut limit = self.limit(organisation, self.versions[0].1[slot], self.versions[0].2);
        let mut changes = self.versions.iter().skip(1).peekable();
        let end = self
            .admissions
            .iter()
            .filter(|entry| entry.organisation == *organisation);
        for admission in end {
            while let Some((from, lowest, highest)) =
                changes.next_if(|(from, ..)| *from <= admission.at)
            {
                level = fill(level, limit, from - at);
                at = *from;
                limit = self.limit(organisation, lowest[slot], *highest);
                level = level.min(i128::from(limit.capacity));
            }
            level = fill(level, limit, admission.at - at) - i128::from(admission.amount);
            at = admission.at;
            worst = worst.min(level);
        }
        worst.unsigned_abs()
    }

    /// Returns the highest rate and burst of the versions that may be in use.
    fn limit(&self, organisation: &OrganisationId, lowest: u64, highest: u64) -> LimitShare {
        self.bundles
            .iter()
            .filter(|bundle| (lowest..=highest).contains(&bundle.version))
            .filter_map(|bundle| bundle.organisations.get(organisation))
            .map(LimitShare::fleet_wide)
            .fold(LimitShare::default(), |a, b| LimitShare {
                rate: a.rate.max(b.rate),
                capacity: a.capacity.max(b.capacity),
            })
    }
}

/// Fills the reference bucket at the pace of the fastest clock.
fn fill(level: i128, limit: LimitShare, micros: u64) -> i128 {
    let gained = i128::from(limit.rate) * i128::from(micros);
    let drift = gained * i128::from(2 * DRIFT_PPM) / 1_000_000;
    (level + gained + drift + 1).min(i128::from(limit.capacity))
}
