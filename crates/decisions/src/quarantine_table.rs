//! Bounded list of the quarantined parts and of those that were quarantined.

use std::time::Duration;

use crate::{
    Map, MonotonicTime, PartId, PartVerdict, QuarantinedPart, Set,
    former_quarantine::FormerQuarantine, quarantine_entry::QuarantineEntry,
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

/// Time from a trial with a quarantined part, or a crash of one, to the next trial.
///
/// An answer or a crash is usually known at all instances by then.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

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
            .map(|(_, entry)| entry.quarantined.clone())
            .collect();
        parts.sort_unstable_by_key(|quarantined| quarantined.part);
        parts
    }

    /// Returns whether a request with `parts` may be sent to a server.
    ///
    /// `last_crash` returns when this instance learned of the latest crash of a part without one of its
    /// alternatives.
    pub(crate) fn verdict(
        &self,
        now: MonotonicTime,
        parts: &[PartId],
        last_crash: impl Fn(&QuarantinedPart) -> Option<MonotonicTime>,
    ) -> PartVerdict {
        let mut trial = None;
        for &part in parts {
            let Some(ends_in) = self.remaining(now, part) else {
                continue;
            };
            let entry = &self.entries[&part];
            if !entry.is_distinguished_by(parts) {
                return PartVerdict::Refused { part, ends_in };
            }
            let last = entry.tried_at.max(last_crash(&entry.quarantined));
            let possible_in = last.map_or(Duration::ZERO, |at| {
                TRIAL_INTERVAL.saturating_sub(now.since(at)).min(ends_in)
            });
            if trial.is_none_or(|(_, other)| possible_in > other) {
                trial = Some((part, possible_in));
            }
        }
        trial.map_or(PartVerdict::Accepted, |(part, possible_in)| {
            PartVerdict::Trial { part, possible_in }
        })
    }

    /// Records that a request with `parts` is tried.
    pub(crate) fn record_trial(&mut self, now: MonotonicTime, parts: &[PartId]) {
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.tried_at = Some(now);
            }
        }
    }

    /// Keeps the alternatives of quarantined parts for which `explains` holds.
    pub(crate) fn retain_alternatives(&mut self, explains: impl Fn(PartId, PartId) -> bool) {
        for entry in self.entries.values_mut() {
            let part = entry.quarantined.part;
            let alternatives = &mut entry.quarantined.alternatives;
            alternatives.retain(|&other| explains(part, other));
        }
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

    /// Returns the ended quarantines of the parts on probation.
    pub(crate) fn on_probation(&self) -> Vec<&FormerQuarantine> {
        let mut former: Vec<_> = self
            .former
            .values()
            .filter(|former| former.cleared_at.is_none())
            .collect();
        former.sort_unstable_by_key(|former| former.quarantined.part);
        former
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
                tried_at: None,
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
        mut reported: QuarantinedPart,
        start: Option<MonotonicTime>,
    ) -> Option<MonotonicTime> {
        if now.since(reported.since) >= QuarantineEntry::MAX_DURATION {
            return None;
        }
        if let Some(entry) = self.entries.get_mut(&reported.part) {
            // The other instance knows of crashes or answers that exclude the missing ones.
            let alternatives = &mut entry.quarantined.alternatives;
            alternatives.retain(|part| reported.alternatives.contains(part));
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
        let is_cleared = |part: &PartId| {
            let former = self.former.get(part);
            let cleared_at = former.and_then(|former| former.cleared_at);
            cleared_at.is_some_and(|at| at > reported.first_crash_at)
        };
        reported.alternatives.retain(|part| !is_cleared(part));
        self.insert(reported, 0, start.is_some());
        None
    }

    /// Records a start of `part`; returns whether it ends a quarantine.
    pub(crate) fn clear(&mut self, part: PartId, at: MonotonicTime) -> bool {
        if let Some(entry) = self.entries.get(&part) {
            if at <= entry.quarantined.first_crash_at + START_MARGIN {
                return false;
            }
            if let Some(entry) = self.entries.remove(&part) {
                self.add_former(FormerQuarantine {
                    quarantined: entry.quarantined,
                    duration: entry.duration,
                    cleared_at: Some(at),
                });
            }
            self.retain_alternatives(|_, other| other != part);
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
            .map(|entry| entry.quarantined.part)
            .filter(|&part| self.remaining(now, part).is_none())
            .collect();
        for part in expired {
            if let Some(entry) = self.entries.remove(&part) {
                self.add_former(FormerQuarantine {
                    quarantined: entry.quarantined,
                    duration: entry.duration,
                    cleared_at: None,
                });
            }
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
