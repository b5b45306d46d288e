//! Limits of all organisations at one instance.

use std::time::Duration;

use crate::{
    Bundle, DomainName, InstanceId, LimitReservation, LimitShare, Map, MonotonicTime,
    OrganisationId, RegionName, Residency, SlotIndex, SlotRecord, SlotSnapshot,
    limit_organisation::LimitOrganisation, limit_slice::LimitSlice, slot_handover::SlotHandover,
};

/// Slot that this instance holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldSlot {
    /// Lowest bundle version with which the slot may be used.
    ///
    /// Instances that claim a slot at the same time may know different versions. The one with the
    /// lower version waits, because the other no longer considers that version's split.
    active_from: u64,
}

/// Decides which requests of each organisation are inside its rate and burst.
///
/// The table belongs to one incarnation. It holds the slices of the slots that the instance holds
/// and the loans from other holders.
#[derive(Clone, Debug)]
pub struct LimitTable {
    pub(crate) instance: InstanceId,
    pub(crate) domain: DomainName,
    pub(crate) organisations: Map<OrganisationId, LimitOrganisation>,
    pub(crate) residencies: Map<OrganisationId, Residency>,
    pub(crate) regions: Map<DomainName, RegionName>,
    pub(crate) version: u64,
    /// Lowest version from which on this instance has seen every version.
    pub(crate) known_from: u64,
    pub(crate) snapshot: SlotSnapshot,
    pub(crate) held: Map<SlotIndex, HeldSlot>,
    /// Slots that are being handed back to another instance.
    pub(crate) returning: Map<SlotIndex, SlotHandover>,
    pub(crate) releasing: bool,
    pub(crate) buckets: u64,
    pub(crate) sequence: u64,
}

impl LimitTable {
    /// Builds the table of an instance that holds nothing yet.
    pub fn new(instance: InstanceId, domain: DomainName) -> Self {
        Self {
            instance,
            domain,
            organisations: Map::default(),
            residencies: Map::default(),
            regions: Map::default(),
            version: 0,
            known_from: 0,
            snapshot: SlotSnapshot::default(),
            held: Map::default(),
            returning: Map::default(),
            releasing: false,
            buckets: 0,
            sequence: 0,
        }
    }

    /// Returns the version of the bundle whose split is in use.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this instance holds the slot of `organisation` in its domain.
    pub fn holds_slot(&self, organisation: &OrganisationId) -> bool {
        self.held.contains_key(&SlotIndex::of(organisation))
    }

    /// Returns the slot holder of `organisation` in this domain, whom callers should ask first.
    pub fn slot_holder(&self, organisation: &OrganisationId) -> Option<&InstanceId> {
        self.snapshot
            .record(&self.domain, SlotIndex::of(organisation))
            .map(|record| &record.holder)
    }

    /// Returns the nanotokens that this instance could spend now.
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

    /// Returns the rate and capacity that this instance owns or borrows, without what it lent.
    pub fn held_share(&mut self, organisation: &OrganisationId, now: MonotonicTime) -> LimitShare {
        let Some(state) = self.organisations.get_mut(organisation) else {
            return LimitShare::default();
        };
        state.advance(now);
        state.held_share()
    }

    /// Returns the rate and capacity of the own slot, with what it lent.
    pub fn owned_share(&self, organisation: &OrganisationId) -> LimitShare {
        self.organisations
            .get(organisation)
            .and_then(|state| state.slice.as_ref())
            .map_or_else(LimitShare::default, LimitSlice::total)
    }

    /// Takes `tokens` for a request, or returns `None` if what the instance holds is not enough.
    ///
    /// On `None`, [`Self::next_loan_step`] says whom to ask before the request is refused.
    pub fn reserve(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: MonotonicTime,
    ) -> Option<LimitReservation> {
        let state = self.organisations.get_mut(organisation)?;
        state.advance(now);
        let amount = tokens.checked_mul(LimitShare::NANOTOKENS_PER_TOKEN)?;
        let parts = state.take(amount)?;
        state.demand.charge(amount, now);
        Some(LimitReservation {
            organisation: organisation.clone(),
            tokens,
            parts,
        })
    }

    /// Settles a reservation to the tokens used; returns how many nanotokens came back.
    ///
    /// Use beyond the reservation is taken from what the instance still holds.
    pub fn settle(&mut self, reservation: LimitReservation, used: u64, now: MonotonicTime) -> u64 {
        let Some(state) = self.organisations.get_mut(&reservation.organisation) else {
            return 0;
        };
        state.advance(now);
        let unused = reservation.tokens.saturating_sub(used);
        let mut unused = unused.saturating_mul(LimitShare::NANOTOKENS_PER_TOKEN);
        state.demand.refund(unused, now);
        let mut refund = 0;
        // Parts of the own slice and of loans that end late come back first.
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

    /// Takes the split of a newer bundle; an older one has no effect.
    ///
    /// Every version should be given in order. After a version was skipped, its split is unknown,
    /// and the slices stay empty until all holders have confirmed a later one.
    pub fn adopt_bundle(&mut self, bundle: &Bundle, now: MonotonicTime) {
        if bundle.version <= self.version {
            return;
        }
        if bundle.version != self.version + 1 {
            self.known_from = bundle.version;
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
            if state.history.is_empty() {
                // An organisation that earlier versions lacked had no share in them.
                state.push_share(self.known_from, LimitShare::default());
            }
            state.push_share(bundle.version, share);
            state.whole = LimitShare::fleet_wide(organisation);
            self.residencies
                .insert(organisation.id.clone(), organisation.residency.clone());
        }
        for (id, state) in &mut self.organisations {
            if !bundle.organisations.contains_key(id) {
                state.push_share(bundle.version, LimitShare::default());
                state.whole = LimitShare::default();
                self.residencies.remove(id);
            }
        }
        self.apply(now);
        self.forget_splits();
    }

    /// Takes the slots as the store holds them; an older snapshot has no effect.
    pub fn adopt_slots(&mut self, snapshot: SlotSnapshot, now: MonotonicTime) {
        if snapshot.revision <= self.snapshot.revision {
            return;
        }
        self.snapshot = snapshot;
        for slot in SlotIndex::all() {
            let mine = self
                .own_record(slot)
                .is_some_and(|record| record.holder == self.instance);
            if !mine {
                self.held.remove(&slot);
                self.returning.remove(&slot);
            } else if !self.held.contains_key(&slot) && !self.releasing {
                let active_from = self.highest_split(slot);
                self.held.insert(slot, HeldSlot { active_from });
            }
        }
        self.apply(now);
    }

    /// Returns the lowest split version that any holder of the slot may still use.
    pub(crate) fn lowest_split(&self, slot: SlotIndex) -> u64 {
        self.splits(slot).min().unwrap_or(self.version)
    }

    /// Returns the highest split version that a holder of the slot has confirmed.
    pub(crate) fn highest_split(&self, slot: SlotIndex) -> u64 {
        self.splits(slot).max().unwrap_or(0)
    }

    /// Returns the record of a slot in the own domain.
    pub(crate) fn own_record(&self, slot: SlotIndex) -> Option<&SlotRecord> {
        self.snapshot.record(&self.domain, slot)
    }

    fn splits(&self, slot: SlotIndex) -> impl Iterator<Item = u64> {
        self.snapshot.records(slot).map(|(_, record)| record.split)
    }

    /// Gives every slice the share that all versions still in use allow.
    pub(crate) fn apply(&mut self, now: MonotonicTime) {
        let mut lowest = Map::default();
        for (slot, held) in &self.held {
            let since = self.lowest_split(*slot).min(self.version);
            let known = since >= self.known_from && self.version >= held.active_from;
            let stopped = self.returning.get(slot) == Some(&SlotHandover::Stopped);
            let usable = known && !stopped && !self.releasing;
            lowest.insert(*slot, usable.then_some(since));
        }
        for state in self.organisations.values_mut() {
            let Some(since) = lowest.get(&state.slot) else {
                state.slice = None;
                continue;
            };
            let total = since.and_then(|since| state.lowest_since(since));
            let slice = state.slice.get_or_insert_with(|| {
                self.buckets += 1;
                LimitSlice::new(self.buckets, now)
            });
            slice.set_total(total.unwrap_or_default(), now);
        }
    }

    /// Forgets the shares that no holder can use any more.
    fn forget_splits(&mut self) {
        let lowest: Vec<u64> = SlotIndex::all()
            .map(|slot| self.lowest_split(slot).min(self.version))
            .collect();
        for state in self.organisations.values_mut() {
            state.forget_before(lowest[usize::from(state.slot.0)]);
        }
    }

    /// Returns the time until the last loan from this instance ends.
    pub(crate) fn until_loans_end(&mut self, now: MonotonicTime) -> Duration {
        self.organisations
            .values_mut()
            .filter_map(|state| state.slice.as_mut())
            .filter_map(|slice| {
                slice.advance(now);
                slice.last_end()
            })
            .map(|end| end.since(now))
            .max()
            .unwrap_or_default()
    }
}
