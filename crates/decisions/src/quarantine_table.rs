//! Bounded list of the quarantined parts and of those that were quarantined.

use std::time::Duration;

use crate::{
    Map, MonotonicTime, PartId, QuarantinedPart, Set, former_quarantine::FormerQuarantine,
    quarantine_entry::QuarantineEntry,
};

/// Greatest number of quarantined parts.
const MAX_QUARANTINED: usize = 32;

/// Greatest number of ended quarantines that are kept.
const MAX_FORMER: usize = 64;

/// A start ends a quarantine if it is later than the first crash by this.
///
/// An answer may have begun just before a part began to crash servers. Relayed times have an error at each
/// instance, so that it may seem several 100 ms later than it was, and the crash earlier.
const START_MARGIN: Duration = Duration::from_secs(1);

/// A quarantine reported by another instance that began at most this much later than the known one
/// is the same quarantine.
const SAME_QUARANTINE: Duration = Duration::from_secs(2);

/// Quarantined parts, and those whose quarantine has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineTable {
    entries: Map<PartId, QuarantineEntry>,
    former: Map<PartId, FormerQuarantine>,
}

impl QuarantineTable {
    /// Returns whether no part is quarantined.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time until the quarantine of `part` ends.
    pub(crate) fn remaining(&self, now: MonotonicTime, part: PartId) -> Option<Duration> {
        let entry = self.entries.get(&part)?;
        entry
            .duration
            .checked_sub(now.since(entry.quarantined.since))
            .filter(|remaining| !remaining.is_zero())
    }

    /// Returns the quarantined parts in ascending order.
    pub(crate) fn quarantined(&self, now: MonotonicTime) -> Vec<QuarantinedPart> {
        let mut parts: Vec<_> = self
            .entries
            .iter()
            .filter(|&(&part, _)| self.remaining(now, part).is_some())
            .map(|(_, entry)| entry.quarantined)
            .collect();
        parts.sort_unstable_by_key(|quarantined| quarantined.part);
        parts
    }

    /// Returns the quarantined parts and the crashes that counted against each.
    pub(crate) fn crash_counts(&self) -> impl Iterator<Item = (PartId, usize)> {
        self.entries
            .iter()
            .map(|(&part, entry)| (part, entry.crashes))
    }

    /// Returns the parts that explain the crashes that contain them.
    ///
    /// These are the quarantined ones and those on probation.
    pub(crate) fn known_causes(&self) -> Set<PartId> {
        let on_probation = self
            .former
            .iter()
            .filter(|(_, former)| former.cleared_at.is_none())
            .map(|(&part, _)| part);
        self.entries.keys().copied().chain(on_probation).collect()
    }

    /// Returns the parts on probation, each with the end of its quarantine.
    pub(crate) fn on_probation(&self) -> Vec<(PartId, MonotonicTime)> {
        let mut parts: Vec<_> = self
            .former
            .values()
            .filter(|former| former.cleared_at.is_none())
            .map(|former| {
                let quarantined = former.quarantined;
                (quarantined.part, quarantined.since + former.duration)
            })
            .collect();
        parts.sort_unstable();
        parts
    }

    /// Quarantines a part; `was_served` says whether servers have answered requests with it.
    pub(crate) fn insert(
        &mut self,
        quarantined: QuarantinedPart,
        crashes: usize,
        was_served: bool,
    ) {
        let duration = match self.former.remove(&quarantined.part) {
            Some(former) if former.cleared_at.is_none() => {
                QuarantineEntry::MAX_DURATION.min(former.duration * 2)
            }
            _ if was_served => QuarantineEntry::SERVED_DURATION,
            _ => QuarantineEntry::MAX_DURATION,
        };
        self.entries.insert(
            quarantined.part,
            QuarantineEntry {
                quarantined,
                crashes,
                duration,
            },
        );
        if self.entries.len() > MAX_QUARANTINED
            && let Some(oldest) = self
                .entries
                .values()
                .map(|entry| (entry.quarantined.since, entry.quarantined.part))
                .min()
        {
            self.entries.remove(&oldest.1);
        }
    }

    /// Adopts the quarantine of another instance; `start` is the latest known start of the part.
    ///
    /// Returns the start that refutes the quarantine, if there is one. A known quarantine keeps its
    /// times: if each instance adopted the latest time of others, the time that the messages take
    /// would prolong the quarantine without end.
    pub(crate) fn adopt(
        &mut self,
        now: MonotonicTime,
        reported: QuarantinedPart,
        start: Option<MonotonicTime>,
    ) -> Option<MonotonicTime> {
        if now.since(reported.since) >= QuarantineEntry::MAX_DURATION
            || self.entries.contains_key(&reported.part)
        {
            return None;
        }
        let cleared_by = start.filter(|&at| at > reported.first_crash_at + START_MARGIN);
        if cleared_by.is_some() {
            return cleared_by;
        }
        if let Some(former) = self.former.get(&reported.part) {
            match former.cleared_at {
                Some(at) if reported.first_crash_at <= at => return Some(at),
                None if reported.since <= former.quarantined.since + SAME_QUARANTINE => {
                    return None;
                }
                _ => {}
            }
        }
        self.insert(reported, 0, start.is_some());
        None
    }

    /// Records a start of `part`; returns whether it ends a quarantine.
    pub(crate) fn clear(&mut self, part: PartId, at: MonotonicTime) -> bool {
        if let Some(entry) = self.entries.get(&part) {
            if at <= entry.quarantined.first_crash_at + START_MARGIN {
                return false;
            }
            let (quarantined, duration) = (entry.quarantined, entry.duration);
            self.entries.remove(&part);
            self.add_former(FormerQuarantine {
                quarantined,
                duration,
                cleared_at: Some(at),
            });
            return true;
        }
        if let Some(former) = self.former.get_mut(&part)
            && former.cleared_at.is_none()
            && at > former.quarantined.first_crash_at + START_MARGIN
        {
            former.cleared_at = Some(at);
        }
        false
    }

    /// Puts the parts on probation whose quarantine has lasted its time.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        let expired: Vec<_> = self
            .entries
            .values()
            .filter(|entry| self.remaining(now, entry.quarantined.part).is_none())
            .map(|entry| (entry.quarantined, entry.duration))
            .collect();
        for (quarantined, duration) in expired {
            self.entries.remove(&quarantined.part);
            self.add_former(FormerQuarantine {
                quarantined,
                duration,
                cleared_at: None,
            });
        }
    }

    fn add_former(&mut self, former: FormerQuarantine) {
        self.former.insert(former.quarantined.part, former);
        if self.former.len() > MAX_FORMER
            && let Some(oldest) = self
                .former
                .values()
                .map(|former| (former.quarantined.since, former.quarantined.part))
                .min()
        {
            self.former.remove(&oldest.1);
        }
    }
}
