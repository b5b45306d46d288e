//! Checks of a simulated fleet's admissions against a single reference bucket.

use std::collections::BTreeMap;

use hawthornquay_decisions::{DomainName, InstanceName, LimitShare, OrganisationId, SlotIndex};

use super::limit_fleet::{Admission, DRIFT_PPM, Fleet, local_time};

impl Fleet {
    /// Returns the number of tokens admitted for an organisation.
    pub fn admitted(&self, organisation: &OrganisationId) -> u64 {
        self.admissions
            .iter()
            .filter(|entry| entry.organisation == *organisation)
            .map(|entry| entry.nanotokens / LimitShare::NANOTOKENS_PER_TOKEN)
            .sum()
    }

    /// Makes every running instance in turn read the slots, renew its loans and write its slots.
    pub fn run_control_round(&mut self, fault_seed: u8) {
        for index in 0..self.processes.len() {
            self.read_slots(index, 0);
            self.renew_loans(index, fault_seed);
            self.write_slots(index, 1_000);
            self.advance(2_000);
        }
    }

    /// Returns how many slots of a domain each instance holds in the store.
    pub fn slot_counts(&self, domain: &DomainName) -> BTreeMap<InstanceName, usize> {
        let mut counts = BTreeMap::new();
        for record in self.stored_slots.domains[domain].slots.values() {
            *counts.entry(record.holder.name.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether an instance of the failure domain may spend or lend the domain's share.
    pub fn owns_rate(&self, domain: &DomainName, organisation: &OrganisationId) -> bool {
        self.processes
            .iter()
            .filter(|process| process.alive && process.domain == *domain)
            .any(|process| process.table.owned_share(organisation).rate > 0)
    }

    /// Checks that the fleet's shares and admissions are within the organisation's limit.
    pub fn assert_within_limit(&mut self, organisation: &OrganisationId) {
        let mut held = LimitShare::default();
        let mut available = 0_u64;
        for process in self.processes.iter_mut().filter(|process| process.alive) {
            let local = local_time(process, self.now_us);
            held = held.saturating_add(process.table.held_share(organisation, local));
            available += process.table.available_nanotokens(organisation, local);
        }
        let slot = usize::from(SlotIndex::of(organisation).0);
        if let Some((_, lowest, highest)) = self.versions.last() {
            let limit = self.max_limit(organisation, lowest[slot], *highest);
            assert!(
                held.fits_in(limit),
                "{organisation}: held share {held:?} exceeds the limit {limit:?}"
            );
        }
        // The tokens available now count as admitted, so that unspent excess is detected, too.
        self.admissions.push(Admission {
            at_us: self.now_us,
            organisation: organisation.clone(),
            nanotokens: available,
        });
        let excess = self.max_excess(organisation);
        self.admissions.pop();
        assert_eq!(
            excess, 0,
            "{organisation}: nanotokens admitted beyond burst + rate·t"
        );
    }

    /// Returns the largest excess of the admissions, in nanotokens, over burst + rate·t.
    ///
    /// One bucket for the whole fleet, which is empty at the start, must cover every admission.
    /// While several bundle versions may be in use, it has the highest of their rates and bursts.
    fn max_excess(&self, organisation: &OrganisationId) -> u128 {
        let slot = usize::from(SlotIndex::of(organisation).0);
        let (mut level, mut at_us, mut worst) = (0_i128, 0_u64, 0_i128);
        let mut limit = self.max_limit(organisation, self.versions[0].1[slot], self.versions[0].2);
        let mut changes = self.versions.iter().skip(1).peekable();
        let admissions = self
            .admissions
            .iter()
            .filter(|entry| entry.organisation == *organisation);
        for admission in admissions {
            while let Some((from, lowest, highest)) =
                changes.next_if(|(from, ..)| *from <= admission.at_us)
            {
                level = fill(level, limit, from - at_us);
                at_us = *from;
                limit = self.max_limit(organisation, lowest[slot], *highest);
                level = level.min(i128::from(limit.capacity));
            }
            level = fill(level, limit, admission.at_us - at_us) - i128::from(admission.nanotokens);
            at_us = admission.at_us;
            worst = worst.min(level);
        }
        worst.unsigned_abs()
    }

    /// Returns the highest rate and burst of the versions that may be in use.
    fn max_limit(&self, organisation: &OrganisationId, lowest: u64, highest: u64) -> LimitShare {
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

/// Returns the level of the reference bucket after `micros` at the speed of the fastest clock.
fn fill(level: i128, limit: LimitShare, micros: u64) -> i128 {
    let gained = i128::from(limit.rate) * i128::from(micros);
    let drift = gained * i128::from(2 * DRIFT_PPM) / 1_000_000;
    (level + gained + drift + 1).min(i128::from(limit.capacity))
}
