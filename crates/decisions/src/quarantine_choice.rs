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

/// Crashes against a part without a known start that are enough if they were at one time fewer.
const MIN_CRASHES_IN_FEWER_EVENTS: u32 = 5;

/// Crashes at different times that are enough if another part occurs in as many of them, or if all
/// servers had the same address.
const MIN_CRASHES_WITHOUT_CONTRAST: usize = 5;

/// Crashes at different times that are enough if almost no answers have begun since the first.
const MIN_CRASHES_WITHOUT_STARTS: usize = 8;

/// Answers since the first crash that show that servers serve other requests.
const MIN_STARTS: usize = 4;

/// Crashes without a part for which one more crash with the part is required.
const OTHER_CRASHES_PER_CRASH: usize = 4;

/// Time after which a crash counts.
///
/// Until then, other instances report further requests that failed with the crash and, once they know
/// of it, answers that have begun since: each takes up to a second.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time before the first crash with a part in which other crashes show another cause.
const OTHER_CRASHES_BEFORE: Duration = Duration::from_secs(5);

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
        let mut explained = self.crashes.with_parts(&self.table.known_causes());
        // Crashes of likely parts that cannot be decided yet; they count against no other part.
        let mut undecided = 0;
        let suspects = self.suspects(explained);
        while let Some((best, tied)) = Self::best(&self.remaining(&suspects, explained | undecided))
        {
            if !self.is_sufficient(best, &tied, &suspects, explained) {
                undecided |= tied
                    .iter()
                    .fold(best.crashes, |crashes, suspect| crashes | suspect.crashes);
                continue;
            }
            let likely = self.most_likely(best, &tied);
            explained |= self
                .crashes
                .with_parts(&likely.iter().map(|suspect| suspect.part).collect());
            explained |= best.crashes;
            chosen.extend(
                likely.into_iter().filter_map(|suspect| {
                    Some((self.quarantine(suspect)?, suspect.count() as usize))
                }),
            );
        }
        chosen
    }

    /// Returns the parts on probation with a crash since the end of their quarantine, unless a
    /// quarantined part explains it.
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
            .filter_map(|&(part, ended_at)| {
                let crashes = self
                    .crashes_with(part)
                    .filter(|(index, record)| {
                        explained & 1 << index == 0
                            && record.evidence.at >= ended_at
                            && !self.starts.clears(part, record.evidence.at)
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

    /// Returns the parts with several crashes that no start has cleared since, in ascending order.
    fn suspects(&self, explained: u64) -> Vec<Suspect> {
        let mut crashes: Map<PartId, u64> = Map::default();
        for (index, record) in self.settled(!explained) {
            for &part in &record.evidence.parts {
                if !self.starts.clears(part, record.evidence.at) {
                    *crashes.entry(part).or_default() |= 1 << index;
                }
            }
        }
        let mut suspects: Vec<_> = crashes
            .into_iter()
            .filter(|(_, crashes)| crashes.count_ones() > 1)
            .map(|(part, crashes)| self.suspect(part, crashes))
            .collect();
        suspects.sort_unstable_by_key(|suspect| suspect.part);
        suspects
    }

    /// Returns the suspects that have several crashes without those in `excluded`.
    fn remaining(&self, suspects: &[Suspect], excluded: u64) -> Vec<Suspect> {
        suspects
            .iter()
            .filter(|suspect| (suspect.crashes & !excluded).count_ones() > 1)
            .map(|suspect| self.suspect(suspect.part, suspect.crashes & !excluded))
            .collect()
    }

    fn suspect(&self, part: PartId, crashes: u64) -> Suspect {
        let mut events = 0;
        let mut last: Option<MonotonicTime> = None;
        for (_, record) in self.records(crashes) {
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

    fn records(&self, crashes: u64) -> impl Iterator<Item = (usize, &CrashRecord)> {
        let records = self.crashes.records();
        let mut left = crashes;
        std::iter::from_fn(move || {
            let index = left.trailing_zeros() as usize;
            let record = records.get(index)?;
            left &= left - 1;
            Some((index, record))
        })
    }

    /// Returns those of `crashes` about which all evidence has arrived.
    fn settled(&self, crashes: u64) -> impl Iterator<Item = (usize, &CrashRecord)> {
        self.records(crashes)
            .filter(|(_, record)| self.now.since(record.learned_at) >= SETTLE_TIME)
    }

    /// Returns the part with most crashes, and the others that have as many and share some of them.
    fn best(suspects: &[Suspect]) -> Option<(Suspect, Vec<Suspect>)> {
        let open = suspects
            .iter()
            .filter(|suspect| suspect.events >= MIN_CRASHES || Self::is_dense(suspect));
        let best = *open
            .clone()
            .max_by_key(|suspect| (suspect.count(), suspect.events, Reverse(suspect.part)))?;
        let tied = open
            .filter(|other| {
                other.part != best.part
                    && other.count() == best.count()
                    && other.crashes & best.crashes != 0
            })
            .copied()
            .collect();
        Some((best, tied))
    }

    /// Returns whether the crashes are enough to decide.
    ///
    /// If servers fail for another reason as well, a healthy part may be in several of the crashes by
    /// chance. This shows in crashes without the part and in other parts that are suspected for these,
    /// and then more crashes with the part are required. If no server begins any answer, healthy parts
    /// are not cleared.
    fn is_sufficient(
        &self,
        best: Suspect,
        tied: &[Suspect],
        suspects: &[Suspect],
        explained: u64,
    ) -> bool {
        let mut addresses: Vec<SocketAddr> = self
            .records(best.crashes)
            .map(|(_, record)| record.evidence.address)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        let Some((_, first)) = self.records(best.crashes).next() else {
            return false;
        };
        let first_at = first.evidence.at;
        let events = if self.starts.count_since(first_at) < MIN_STARTS {
            MIN_CRASHES_WITHOUT_STARTS
        } else if tied.is_empty() && addresses.len() > 1 {
            MIN_CRASHES
        } else {
            MIN_CRASHES_WITHOUT_CONTRAST
        };
        let other_crashes = self
            .records(!explained)
            .filter(|(_, record)| {
                record.evidence.at + OTHER_CRASHES_BEFORE > first_at
                    && record.evidence.parts.binary_search(&best.part).is_err()
            })
            .count();
        let other_suspects = self.remaining(suspects, best.crashes | explained).len();
        let crashes = events + other_crashes / OTHER_CRASHES_PER_CRASH + other_suspects;
        let is_dense = Self::is_dense(&best) && self.starts.at(best.part).is_none();
        let best_events = best.events + usize::from(is_dense);
        best_events >= events && best.count() as usize >= crashes
    }

    /// Returns whether several crashes in quick succession, twice, count as three single ones.
    ///
    /// A popular part may have these while most servers fail for another reason; if it is known to
    /// have been served, they are not enough.
    const fn is_dense(suspect: &Suspect) -> bool {
        suspect.events == MIN_CRASHES - 1 && suspect.count() >= MIN_CRASHES_IN_FEWER_EVENTS
    }

    /// Returns which of the parts with the same number of crashes are quarantined.
    ///
    /// The latest crashes, which do not count yet, tell some of them apart. A part that is known to
    /// have been served before is less likely than one that is not. The others are all quarantined if
    /// they have the same crashes.
    fn most_likely(&self, best: Suspect, tied: &[Suspect]) -> Vec<Suspect> {
        let rank = |suspect: &Suspect| {
            let crashes = self
                .crashes_with(suspect.part)
                .filter(|(_, record)| !self.starts.clears(suspect.part, record.evidence.at))
                .count();
            (crashes, self.starts.at(suspect.part).is_none())
        };
        let all = std::iter::once(best).chain(tied.iter().copied());
        let ranked: Vec<_> = all.map(|suspect| (rank(&suspect), suspect)).collect();
        let Some(&(highest, first)) = ranked
            .iter()
            .max_by_key(|(rank, suspect)| (*rank, Reverse(suspect.part)))
        else {
            return Vec::new();
        };
        ranked
            .into_iter()
            .filter(|(rank, suspect)| *rank == highest && suspect.crashes == first.crashes)
            .map(|(_, suspect)| suspect)
            .collect()
    }

    fn quarantine(&self, suspect: Suspect) -> Option<QuarantinedPart> {
        Some(QuarantinedPart {
            part: suspect.part,
            first_crash_at: self.records(suspect.crashes).next()?.1.evidence.at,
            since: self.now,
        })
    }
}
