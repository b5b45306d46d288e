//! Rate limits of all organisations at one instance.

use std::time::Duration;

use crate::{
    Bundle, DomainName, InstanceId, LimitReservation, LimitShare, Map, MonotonicTime,
    OrganisationId, RegionName, Residency, SlotIndex, SlotRecord, SlotSnapshot,
    limit_organisation::LimitOrganisation, limit_slice::LimitSlice, slot_handover::SlotHandover,
};

/// Slot held by this instance.
#[derive(Clone, Debug)]
pub(crate) struct HeldSlot {
    /// Lowest bundle version with which the slot may be used.
    ///
    /// Instances that claim the same slot in different failure domains may have different bundle
    /// versions, and each version may split the limits between the failure domains differently. The
    /// instance with the lower version waits, because the others no longer take the split of that
    /// version into account.
    usable_from: u64,
    /// Record by which the store last confirmed this instance as the holder.
    pub(crate) record: SlotRecord,
}

/// Decides whether a request of an organisation is within the organisation's rate and burst.
///
/// The bundle splits each organisation's rate and burst between the failure domains. In each
/// domain, organisations hash to slots, and the instance that holds a slot owns the domain's share
/// of the slot's organisations: their slices. An instance admits requests from its slices and from
/// loans that it obtains from other slot holders. A table belongs to one incarnation of an
/// instance.
#[derive(Clone, Debug)]
pub struct LimitTable {
    pub(crate) instance: InstanceId,
    pub(crate) domain: DomainName,
    pub(crate) organisations: Map<OrganisationId, LimitOrganisation>,
    pub(crate) residencies: Map<OrganisationId, Residency>,
    pub(crate) regions: Map<DomainName, RegionName>,
    /// Version of the bundle whose split is in use.
    pub(crate) version: u64,
    /// First version of the unbroken sequence of versions that ends at `version`.
    pub(crate) contiguous_from: u64,
    pub(crate) snapshot: SlotSnapshot,
    /// Latest era of the store in which no confirmed slot is missing.
    settled_era: u64,
    pub(crate) held: Map<SlotIndex, HeldSlot>,
    /// Held slots that are being released for other instances.
    pub(crate) handovers: Map<SlotIndex, SlotHandover>,
    /// Whether the instance shuts down and releases all slots.
    pub(crate) releasing_all: bool,
    pub(crate) last_bucket_number: u64,
    pub(crate) last_loan_sequence: u64,
}

impl LimitTable {
    /// Creates the table of an instance without slots, loans or a bundle.
    pub fn new(instance: InstanceId, domain: DomainName) -> Self {
        Self {
            instance,
            domain,
            organisations: Map::default(),
            residencies: Map::default(),
            regions: Map::default(),
            version: 0,
            contiguous_from: 0,
            snapshot: SlotSnapshot::default(),
            settled_era: 0,
            held: Map::default(),
            handovers: Map::default(),
            releasing_all: false,
            last_bucket_number: 0,
            last_loan_sequence: 0,
        }
    }

    /// Returns the version of the bundle whose split is in use.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this instance holds the slot of `organisation` in its failure domain.
    pub fn holds_slot(&self, organisation: &OrganisationId) -> bool {
        self.held.contains_key(&SlotIndex::of(organisation))
    }

    /// Returns the holder of the slot of `organisation` in this failure domain.
    ///
    /// Callers should prefer it for the organisation's requests, because it can admit them from its
    /// slice without a loan.
    pub fn slot_holder(&self, organisation: &OrganisationId) -> Option<&InstanceId> {
        self.snapshot
            .record(&self.domain, SlotIndex::of(organisation))
            .map(|record| &record.holder)
    }

    /// Returns the nanotokens that this instance can spend at `now` without a further loan.
    pub fn available_nanotokens(
        &mut self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> u64 {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return 0;
        };
        state.advance(now);
        state.available_nanotokens()
    }

    /// Returns the rate and capacity that this instance owns or borrows, less what it lent.
    pub fn held_share(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> LimitShare {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return LimitShare::default();
        };
        state.advance(now);
        state.held_share()
    }

    /// Returns the rate and capacity that this instance owns, including what it lent.
    pub fn owned_share(&self, organisation: &OrganisationId) -> LimitShare {
        self.organisations
            .get(organisation)
            .and_then(|state| state.slice.as_ref())
            .map_or_else(LimitShare::default, LimitSlice::total)
    }

    /// Reserves `tokens` for a request; returns `None` if the slice and the loans hold fewer.
    ///
    /// On `None`, [`Self::next_loan_step`] decides whether to borrow or to refuse the request.
    pub fn reserve(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: MonotonicTime,
    ) -> Option<LimitReservation> {
        let state = self.organisations.get_mut(organisation)?;
        state.advance(now);
        let amount = tokens.checked_mul(LimitShare::NANOTOKENS_PER_TOKEN)?;
        let parts = state.reserve(amount)?;
        state.demand.charge(amount, now);
        Some(LimitReservation {
            organisation: organisation.clone(),
            tokens,
            parts,
        })
    }

    /// Settles a reservation to the tokens used; returns the nanotokens refunded.
    ///
    /// Use beyond the reservation is charged to the loans and the slice, as far as they hold
    /// tokens.
    pub fn settle(&mut self, reservation: LimitReservation, used: u64, now: MonotonicTime) -> u64 {
        let Some(state) = self.organisations.get_mut(&reservation.organisation) else {
            return 0;
        };
        state.advance(now);
        let unused = reservation.tokens.saturating_sub(used);
        let mut unused = unused.saturating_mul(LimitShare::NANOTOKENS_PER_TOKEN);
        state.demand.refund(unused, now);
        let mut refund = 0;
        // The reverse of the order in which they were taken: the slice is refunded first, then the
        // loans that end last.
        for part in reservation.parts.iter().rev() {
            let back = unused.min(part.amount);
            unused -= back;
            if let Some(bucket) = state.bucket_of(part) {
                refund += bucket.settle(part.reservation, back);
            }
        }
        let extra = used.saturating_sub(reservation.tokens);
        let mut extra = extra.saturating_mul(LimitShare::NANOTOKENS_PER_TOKEN);
        state.demand.charge(extra, now);
        for loan in state.loans.values_mut() {
            extra -= loan.bucket.withdraw(extra);
        }
        if let Some(slice) = &mut state.slice {
            slice.bucket.withdraw(extra);
        }
        refund
    }

    /// Applies the split of a newer bundle; an older bundle has no effect.
    ///
    /// Versions should be given in order without a gap. The split of a skipped version is unknown,
    /// so the slices stay empty until all slot holders have confirmed a later version.
    pub fn adopt_bundle(&mut self, bundle: &Bundle, now: MonotonicTime) {
        if bundle.version <= self.version {
            return;
        }
        if bundle.version != self.version + 1 {
            self.contiguous_from = bundle.version;
        }
        self.version = bundle.version;
        self.regions = bundle
            .domains
            .values()
            .map(|entry| (entry.name.clone(), entry.region.clone()))
            .collect();
        for organisation in bundle.organisations.values() {
            let share = LimitShare::of_domain(organisation, &self.domain, &bundle.domains);
            let state = self
                .organisations
                .entry(organisation.id.clone())
                .or_insert_with(|| LimitOrganisation::new(SlotIndex::of(&organisation.id)));
            if state.share_history.is_empty() {
                // The organisation is not in the earlier versions and had no share in them.
                state.record_share(self.contiguous_from, LimitShare::default());
            }
            state.record_share(bundle.version, share);
            state.fleet_limit = LimitShare::fleet_wide(organisation);
            self.residencies
                .insert(organisation.id.clone(), organisation.residency.clone());
        }
        for (id, state) in &mut self.organisations {
            if !bundle.organisations.contains_key(id) {
                state.record_share(bundle.version, LimitShare::default());
                state.fleet_limit = LimitShare::default();
                self.residencies.remove(id);
            }
        }
        self.update_slices(now);
        self.prune_share_history();
    }

    /// Applies the slots read from the store; an older snapshot has no effect.
    ///
    /// In an era that is not settled, the store may lack claims and releases that it confirmed. This
    /// instance then keeps the slots that it holds, whatever the snapshot says, and takes no others:
    /// the lost history may have given them to another instance.
    pub fn adopt_slots(&mut self, snapshot: SlotSnapshot, now: MonotonicTime) {
        if snapshot.revision <= self.snapshot.revision {
            return;
        }
        self.snapshot = snapshot;
        self.apply_snapshot(now);
    }

    /// Records that every slot holder had time to write back its slots in `era` of the store, so that
    /// the snapshots of this era are complete.
    pub fn settle_era(&mut self, era: u64, now: MonotonicTime) {
        if era > self.settled_era {
            self.settled_era = era;
            self.apply_snapshot(now);
        }
    }

    /// Returns whether the snapshot may lack slots that the store confirmed in an earlier era.
    pub(crate) fn is_recovering(&self) -> bool {
        self.snapshot.revision.era > self.settled_era
    }

    fn apply_snapshot(&mut self, now: MonotonicTime) {
        let recovering = self.is_recovering();
        for slot in SlotIndex::all() {
            let own = self.domain_record(slot);
            let own = own.filter(|record| record.holder == self.instance).cloned();
            // A release without an answer may have taken effect in the lost history.
            let stopped = self.handovers.get(&slot) == Some(&SlotHandover::Stopped);
            match own {
                Some(record) if !recovering => self.hold(slot, record),
                Some(_) if !stopped => {}
                None if recovering && !stopped && !self.releasing_all => {}
                _ => {
                    self.held.remove(&slot);
                    self.handovers.remove(&slot);
                }
            }
        }
        self.update_slices(now);
    }

    /// Holds a slot, or updates the record of one that is held.
    fn hold(&mut self, slot: SlotIndex, record: SlotRecord) {
        if let Some(held) = self.held.get_mut(&slot) {
            held.record = record;
        } else if !self.releasing_all {
            let usable_from = self.highest_split_version(slot);
            let held = HeldSlot {
                usable_from,
                record,
            };
            self.held.insert(slot, held);
        }
    }

    /// Returns the lowest split version that a holder of the slot in any failure domain may use.
    pub(crate) fn lowest_split_version(&self, slot: SlotIndex) -> u64 {
        self.split_versions(slot).min().unwrap_or(self.version)
    }

    /// Returns the highest split version that a holder of the slot in any failure domain confirmed.
    pub(crate) fn highest_split_version(&self, slot: SlotIndex) -> u64 {
        self.split_versions(slot).max().unwrap_or(0)
    }

    /// Returns the record of a slot in this instance's failure domain.
    pub(crate) fn domain_record(&self, slot: SlotIndex) -> Option<&SlotRecord> {
        self.snapshot.record(&self.domain, slot)
    }

    fn split_versions(&self, slot: SlotIndex) -> impl Iterator<Item = u64> {
        self.snapshot.records(slot).map(|(_, record)| record.split)
    }

    /// Sets every slice to the smallest share of all split versions that a slot holder may use.
    ///
    /// Slices of slots that may not be used get nothing.
    pub(crate) fn update_slices(&mut self, now: MonotonicTime) {
        let mut lowest = Map::default();
        for (slot, held) in &self.held {
            let since = self.lowest_split_version(*slot);
            let since = since.min(held.record.split).min(self.version);
            let known = since >= self.contiguous_from && self.version >= held.usable_from;
            let stopped = self.handovers.get(slot) == Some(&SlotHandover::Stopped);
            let usable = known && !stopped && !self.releasing_all;
            lowest.insert(*slot, usable.then_some(since));
        }
        for state in self.organisations.values_mut() {
            let Some(since) = lowest.get(&state.slot) else {
                state.slice = None;
                continue;
            };
            let total = since.and_then(|since| state.min_share_since(since));
            let slice = state.slice.get_or_insert_with(|| {
                self.last_bucket_number += 1;
                LimitSlice::new(self.last_bucket_number, now)
            });
            slice.set_total(total.unwrap_or_default(), now);
        }
    }

    /// Removes the shares of split versions that no slot holder uses any more.
    fn prune_share_history(&mut self) {
        let lowest: Vec<u64> = SlotIndex::all()
            .map(|slot| self.lowest_split_version(slot).min(self.version))
            .collect();
        for state in self.organisations.values_mut() {
            state.prune_shares_before(lowest[usize::from(state.slot.0)]);
        }
    }

    /// Returns the time until the last loan from this instance ends, or zero without a loan.
    pub(crate) fn time_until_loans_end(&mut self, now: MonotonicTime) -> Duration {
        self.organisations
            .values_mut()
            .filter_map(|state| state.slice.as_mut())
            .filter_map(|slice| {
                slice.advance(now);
                slice.last_loan_end()
            })
            .map(|end| end.since(now))
            .max()
            .unwrap_or_default()
    }
}
