//! Bundle builder and simulated fleet for the tests of limits.

#![allow(dead_code)]

pub mod limit_fleet;
mod limit_reference;

use hawthornquay_decisions::{
    Bundle, DomainName, DomainSlots, FailureDomain, InstanceId, InstanceRecord, InstanceState,
    LimitTable, MonotonicTime, Organisation, OrganisationId, Residency, SlotIndex, SlotRecord,
    SlotSnapshot, StoreRevision,
};

/// Builds a bundle with the failure domains `d0`, `d1`, …, two in each of the regions `r0`, `r1`, …
pub struct BundleBuilder(Bundle);

impl BundleBuilder {
    pub fn new(version: u64, weights: &[u64]) -> Self {
        let domains = weights.iter().enumerate().map(|(index, weight)| {
            let name = DomainName::from(format!("d{index}"));
            let domain = FailureDomain {
                name: name.clone(),
                region: format!("r{}", index / 2).into(),
                limit_weight: *weight,
            };
            (name, domain)
        });
        Self(Bundle {
            version,
            domains: domains.collect(),
            ..Bundle::default()
        })
    }

    pub fn organisation(mut self, id: &str, rate: u64, burst: u64) -> Self {
        let organisation = Organisation {
            id: id.into(),
            rate,
            burst,
            residency: Residency::Any,
        };
        self.0.organisations.insert(id.into(), organisation);
        self
    }

    pub fn residency(mut self, id: &str, regions: &[&str]) -> Self {
        let regions = regions.iter().map(|region| (*region).into()).collect();
        if let Some(organisation) = self.0.organisations.get_mut(id) {
            organisation.residency = Residency::Regions(regions);
        }
        self
    }

    pub fn build(self) -> Bundle {
        self.0
    }
}

pub fn millis(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

pub fn org(id: &str) -> OrganisationId {
    id.into()
}

/// Builds a snapshot in which each listed instance holds all slots of its failure domain.
///
/// `holders` has the failure domain, the holder and the confirmed split version.
pub fn snapshot(revision: u64, holders: &[(&str, &InstanceId, u64)]) -> SlotSnapshot {
    let domains = holders.iter().map(|(domain, holder, split)| {
        let record = SlotRecord {
            holder: (*holder).clone(),
            split: *split,
            address: Some(([127, 0, 0, 1], 1).into()),
        };
        let slots = SlotIndex::all()
            .map(|slot| (slot, record.clone()))
            .collect();
        (DomainName::new(domain), DomainSlots { slots })
    });
    SlotSnapshot {
        revision: StoreRevision { era: 0, revision },
        domains: domains.collect(),
    }
}

/// Builds one table per failure domain, which holds all slots of the domain, at time zero.
///
/// The split of version 1 is confirmed by all.
pub fn holders(bundle: &Bundle) -> Vec<LimitTable> {
    let mut names: Vec<DomainName> = bundle.domains.keys().cloned().collect();
    names.sort();
    let ids: Vec<InstanceId> = (0..names.len())
        .map(|index| InstanceId::new(&format!("h{index}"), 1))
        .collect();
    let held: Vec<(&str, &InstanceId, u64)> = names
        .iter()
        .zip(&ids)
        .map(|(name, id)| (name.as_str(), id, 1))
        .collect();
    let slots = snapshot(1, &held);
    names
        .iter()
        .zip(&ids)
        .map(|(name, id)| {
            let mut table = LimitTable::new(id.clone(), name.clone());
            table.adopt_bundle(bundle, millis(0));
            table.adopt_slots(slots.clone(), millis(0));
            table
        })
        .collect()
}

pub fn record(
    name: &str,
    domain: &DomainName,
    state: InstanceState,
    age_ms: u64,
) -> InstanceRecord {
    let address = ([127, 0, 0, 1], 1).into();
    InstanceRecord {
        name: name.into(),
        region: "r0".into(),
        domain: domain.clone(),
        callers: address,
        peers: address,
        operators: address,
        state,
        state_age_ms: age_ms,
    }
}
