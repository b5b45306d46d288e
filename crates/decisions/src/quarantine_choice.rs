//! Choice of the prompt parts that explain the crashes of backend servers.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use crate::{
    Map, MonotonicTime, PartId, QuarantinedPart, Set,
    crash_log::{COMMON_CAUSE_INTERVAL, CrashLog},
    crash_record::CrashRecord,
    quarantine_table::QuarantineTable,
    start_log::StartLog,
    suspect::Suspect,
};

/// Crashes at different times that are enough against a part.
const MIN_CRASHES: usize = 3;

/// Crashes at different times that are enough if another part occurs in as many of them, or if all
/// servers had the same address.
const MIN_CRASHES_WITHOUT_CONTRAST: usize = 5;

/// Crashes at different times that are enough if no server has begun any answer since the first.
const MIN_CRASHES_WITHOUT_STARTS: usize = 8;

/// Time after which a crash counts.
///
/// Until then, other instances report further requests that failed with the crash and, once they know
/// of it, answers that have begun since: each takes up to a second.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Chooses the parts that explain the crashes which no known part explains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantineChoice<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) crashes: &'a CrashLog,
    pub(crate) starts: &'a StartLog,
    pub(crate) table: &'a QuarantineTable,
}

impl QuarantineChoice<'_> {
    /// Returns the parts to quarantine and the number of crashes against each.
    ///
    /// The part with most crashes is chosen, and these crashes no longer count against other parts;
    /// this is repeated for the remaining crashes.
    pub(crate) fn choose(&self) -> Vec<(QuarantinedPart, usize)> {
        let mut chosen = self.relapsed();
        let mut explained = self.crashes.with_parts(&self.table.culprits());
        let suspects = self.suspects(explained);
        while let Some((best, tied)) = self.best(&suspects, explained) {
            let decided = if self.is_sufficient(best, &tied) {
                self.most_likely(best, &tied)
            } else {
                Vec::new()
            };
            // Also what cannot be decided yet does not count against parts that are less likely.
            explained |= tied
                .iter()
                .fold(best.crashes, |crashes, suspect| crashes | suspect.crashes);
            explained |= self
                .crashes
                .with_parts(&decided.iter().map(|suspect| suspect.part).collect());
            chosen.extend(
                decided.into_iter().filter_map(|suspect| {
                    Some((self.quarantine(suspect)?, suspect.count() as usize))
                }),
            );
        }
        chosen
    }

    /// Returns the parts on probation with a crash, unless a quarantined part explains it.
    fn relapsed(&self) -> Vec<(QuarantinedPart, usize)> {
        let quarantined: Set<_> = self
            .table
            .quarantined(self.now)
            .iter()
            .map(|quarantined| quarantined.part)
            .collect();
        let explained = self.crashes.with_parts(&quarantined);
        self.table
            .on_probation()
            .iter()
            .filter_map(|former| {
                let part = former.part;
                let crashes = self
                    .crashes_with(part)
                    .filter(|(index, record)| {
                        explained & 1 << index == 0 && !self.starts.clears(part, record.evidence.at)
                    })
                    .fold(0, |crashes, (index, _)| crashes | 1 << index);
                let suspect = self.suspect(part, crashes);
                Some((self.quarantine(suspect)?, suspect.count() as usize))
            })
            .collect()
    }

    fn crashes_with(&self, part: PartId) -> impl Iterator<Item = (usize, &CrashRecord)> {
        self.crashes
            .records()
            .iter()
            .enumerate()
            .filter(move |(_, record)| record.evidence.parts.binary_search(&part).is_ok())
    }

    /// Returns the parts with enough crashes that no start has cleared since, in ascending order.
    fn suspects(&self, explained: u64) -> Vec<Suspect> {
        let mut crashes: Map<PartId, u64> = Map::default();
        for (index, record) in self.crashes.records().iter().enumerate() {
            if explained & 1 << index != 0 || self.now.since(record.learned_at) < SETTLE_TIME {
                continue;
            }
            for &part in &record.evidence.parts {
                if !self.starts.clears(part, record.evidence.at) {
                    *crashes.entry(part).or_default() |= 1 << index;
                }
            }
        }
        let mut suspects: Vec<_> = crashes
            .into_iter()
            .filter(|(_, crashes)| crashes.count_ones() as usize >= MIN_CRASHES)
            .map(|(part, crashes)| self.suspect(part, crashes))
            .collect();
        suspects.sort_unstable_by_key(|suspect| suspect.part);
        suspects
    }

    fn suspect(&self, part: PartId, crashes: u64) -> Suspect {
        let mut events = 0;
        let mut last: Option<MonotonicTime> = None;
        for record in self.records(crashes) {
            let at = record.evidence.at;
            if last.is_none_or(|last| at.since(last) >= COMMON_CAUSE_INTERVAL) {
                events += 1;
                last = Some(at);
            }
        }
        Suspect {
            part,
            crashes,
            events,
        }
    }

    fn records(&self, crashes: u64) -> impl Iterator<Item = &CrashRecord> {
        self.crashes
            .records()
            .iter()
            .enumerate()
            .filter(move |(index, _)| crashes & 1 << index != 0)
            .map(|(_, record)| record)
    }

    /// Returns the part with most unexplained crashes, and the others that have as many and share
    /// some of them.
    fn best(&self, suspects: &[Suspect], explained: u64) -> Option<(Suspect, Vec<Suspect>)> {
        let open: Vec<_> = suspects
            .iter()
            .map(|suspect| self.suspect(suspect.part, suspect.crashes & !explained))
            .filter(|suspect| suspect.events >= MIN_CRASHES)
            .collect();
        let best = *open
            .iter()
            .max_by_key(|suspect| (suspect.count(), suspect.events, Reverse(suspect.part)))?;
        let tied = open
            .into_iter()
            .filter(|other| {
                other.part != best.part
                    && other.count() == best.count()
                    && other.crashes & best.crashes != 0
            })
            .collect();
        Some((best, tied))
    }

    /// Returns whether the crashes are enough to decide.
    ///
    /// While no server begins any answer, the cause may be something else that ends all of them.
    fn is_sufficient(&self, best: Suspect, tied: &[Suspect]) -> bool {
        let mut addresses: Vec<SocketAddr> = self
            .records(best.crashes)
            .map(|record| record.evidence.address)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        let required = if tied.is_empty() && addresses.len() > 1 {
            MIN_CRASHES
        } else {
            MIN_CRASHES_WITHOUT_CONTRAST
        };
        let has_start = self
            .records(best.crashes)
            .next()
            .is_some_and(|first| self.starts.latest() > Some(first.evidence.at));
        best.events >= required && (has_start || best.events >= MIN_CRASHES_WITHOUT_STARTS)
    }

    /// Returns which of the parts with the same number of crashes are quarantined.
    ///
    /// A part that is known to have been served before is less likely than one that is not. Parts with
    /// the same crashes cannot be told apart otherwise.
    fn most_likely(&self, best: Suspect, tied: &[Suspect]) -> Vec<Suspect> {
        let all: Vec<_> = std::iter::once(best).chain(tied.iter().copied()).collect();
        let mut likely: Vec<_> = all
            .iter()
            .copied()
            .filter(|suspect| self.starts.at(suspect.part).is_none())
            .collect();
        if likely.is_empty() {
            likely = all;
        }
        let crashes = likely[0].crashes;
        likely.retain(|suspect| suspect.crashes == crashes);
        likely
    }

    fn quarantine(&self, suspect: Suspect) -> Option<QuarantinedPart> {
        Some(QuarantinedPart {
            part: suspect.part,
            first_crash_at: self.records(suspect.crashes).next()?.evidence.at,
            since: self.now,
        })
    }
}
