//! Choice of the prompt parts that explain the crashes of backend servers.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use crate::{
    AnswerStage, Map, MonotonicTime, PartId, QuarantinedPart, Set, SuspectedPart,
    crash_log::{COMMON_CAUSE_INTERVAL, CrashLog},
    crash_record::CrashRecord,
    quarantine_table::QuarantineTable,
    stage_logs::StageLogs,
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

/// Number of crashes by which a part must exceed every other suspected part of its crashes for the decision
/// to depend less on how many answers have begun.
const MIN_LEAD: u32 = 3;

/// Greatest number of parts that are kept as alternatives to a quarantined one.
const MAX_ALTERNATIVES: usize = 8;

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
    pub(crate) starts: &'a StageLogs,
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
        for stage in AnswerStage::ALL {
            self.choose_by(stage, &mut explained, &mut chosen);
        }
        chosen
    }

    /// Chooses the parts of the crashes that are not in `explained` and that answers of `stage` clear.
    ///
    /// Earlier stages go first. If servers crash before they answer anything, few answers reach the later
    /// stages, and sound parts have as many crashes there as the cause.
    fn choose_by(
        &self,
        stage: AnswerStage,
        explained: &mut u64,
        chosen: &mut Vec<(QuarantinedPart, usize)>,
    ) {
        // Crashes of likely parts that cannot be decided yet; they count against no other part.
        let mut undecided = 0;
        let suspects = self.suspects(stage, *explained);
        while let Some((best, tied)) =
            Self::best(&self.remaining(&suspects, *explained | undecided))
        {
            if !self.is_sufficient(best, &tied, &suspects, *explained) {
                undecided |= tied
                    .iter()
                    .fold(best.crashes, |crashes, suspect| crashes | suspect.crashes);
                continue;
            }
            let likely = self.most_likely(best, &tied);
            *explained |= self
                .crashes
                .with_parts(&likely.iter().map(|suspect| suspect.part).collect());
            *explained |= best.crashes;
            chosen.extend(
                likely.into_iter().filter_map(|suspect| {
                    Some((self.quarantine(suspect)?, suspect.count() as usize))
                }),
            );
        }
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
            .into_iter()
            .filter_map(|former| {
                let part = former.quarantined.part;
                let ended_at = former.quarantined.since + former.duration;
                let crashes = self
                    .crashes_with(part)
                    .filter(|(index, record)| {
                        explained & 1 << index == 0
                            && record.evidence.at >= ended_at
                            && self.is_suspected_by_now(part, record)
                    })
                    .fold(0, |crashes, (index, _)| crashes | 1 << index);
                let suspect = self.suspect(part, AnswerStage::Begun, crashes);
                let mut alternatives = former.quarantined.alternatives.clone();
                alternatives.retain(|&other| {
                    self.records(crashes)
                        .all(|(_, record)| record.evidence.has_part(other))
                });
                let quarantined = QuarantinedPart {
                    alternatives,
                    ..self.quarantine(suspect)?
                };
                Some((quarantined, suspect.count() as usize))
            })
            .collect()
    }

    fn crashes_with(&self, part: PartId) -> impl Iterator<Item = (usize, &CrashRecord)> {
        self.crashes
            .records()
            .iter()
            .enumerate()
            .filter(move |(_, record)| record.evidence.has_part(part))
    }

    /// Returns the parts with several crashes that an answer of `stage` clears, but none has since, in
    /// ascending order.
    fn suspects(&self, stage: AnswerStage, explained: u64) -> Vec<Suspect> {
        let mut crashes: Map<PartId, u64> = Map::default();
        for (index, record) in self.settled(stage, !explained) {
            let parts = self.starts.suspected(&record.evidence);
            for part in parts.filter(|part| part.cleared_by == stage) {
                *crashes.entry(part.id).or_default() |= 1 << index;
            }
        }
        let mut suspects: Vec<_> = crashes
            .into_iter()
            .filter(|(_, crashes)| crashes.count_ones() > 1)
            .map(|(part, crashes)| self.suspect(part, stage, crashes))
            .collect();
        suspects.sort_unstable_by_key(|suspect| suspect.part);
        suspects
    }

    /// Returns the suspects that have several crashes without those in `excluded`.
    fn remaining(&self, suspects: &[Suspect], excluded: u64) -> Vec<Suspect> {
        suspects
            .iter()
            .filter(|suspect| (suspect.crashes & !excluded).count_ones() > 1)
            .map(|suspect| self.suspect(suspect.part, suspect.stage, suspect.crashes & !excluded))
            .collect()
    }

    fn suspect(&self, part: PartId, stage: AnswerStage, crashes: u64) -> Suspect {
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
            stage,
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

    /// Returns whether another suspected part explains the crashes of a suspect better, and has to be decided
    /// first. It is in all of them but one at most.
    fn has_likelier_suspect(&self, suspect: Suspect, explained: u64) -> bool {
        let later = AnswerStage::ALL.into_iter();
        let mut later = later.filter(|&stage| stage > suspect.stage);
        self.has_earlier_suspect(suspect)
            || later.any(|stage| self.has_later_suspect(suspect, stage, explained))
    }

    /// Returns whether the crashes of a suspect have another part in common that answers of an earlier stage
    /// would clear, but none has.
    fn has_earlier_suspect(&self, suspect: Suspect) -> bool {
        let is_earlier = |part: &SuspectedPart, record: &CrashRecord| {
            part.cleared_by < suspect.stage && !self.starts.clears(*part, record.evidence.at)
        };
        self.common_parts(suspect, is_earlier).next().is_some()
    }

    /// Returns whether the crashes of a suspect, and further ones, have another part in common that only
    /// answers of `stage` clear.
    ///
    /// A request that is repeated on one crashing server after the other has few crashes, and the cause is in
    /// these as well. What clears the cause of crashes at earlier stages is no proof, as it crashes servers
    /// later.
    fn has_later_suspect(&self, suspect: Suspect, stage: AnswerStage, explained: u64) -> bool {
        let is_suspected = |part: &SuspectedPart, record: &CrashRecord| {
            part.cleared_by <= stage
                && self.now.since(record.learned_at) >= stage.time()
                && !self.starts.log(stage).clears(part.id, record.evidence.at)
        };
        self.common_parts(suspect, is_suspected).any(|id| {
            let (mut count, mut is_of_stage) = (0, false);
            for (_, record) in self.records(!explained) {
                let parts = record.evidence.parts.iter();
                let mut own = parts.filter(|part| part.id == id && is_suspected(part, record));
                let Some(first) = own.next() else {
                    continue;
                };
                count += 1;
                is_of_stage |=
                    first.cleared_by == stage || own.any(|part| part.cleared_by == stage);
            }
            is_of_stage && count > suspect.count()
        })
    }

    /// Returns the other parts for which `is_counted` holds in the crashes of a suspect, all but one at most.
    fn common_parts(
        &self,
        suspect: Suspect,
        is_counted: impl Fn(&SuspectedPart, &CrashRecord) -> bool,
    ) -> impl Iterator<Item = PartId> {
        let mut counts: Map<PartId, u32> = Map::default();
        for (_, record) in self.records(suspect.crashes) {
            let parts = record.evidence.parts.iter();
            let counted = parts.filter(|part| part.id != suspect.part && is_counted(part, record));
            let ids: Set<PartId> = counted.map(|part| part.id).collect();
            for id in ids {
                *counts.entry(id).or_default() += 1;
            }
        }
        let least = suspect.count() - 1;
        counts
            .into_iter()
            .filter(move |&(_, count)| count >= least)
            .map(|(id, _)| id)
    }

    /// Returns the number of crashes by which a suspect exceeds every other suspected part of its crashes.
    fn lead(&self, suspect: Suspect) -> u32 {
        let mut counts: Map<PartId, u32> = Map::default();
        for (_, record) in self.records(suspect.crashes) {
            let parts = self.starts.suspected(&record.evidence);
            let ids: Set<PartId> = parts.map(|part| part.id).collect();
            for id in ids.into_iter().filter(|&id| id != suspect.part) {
                *counts.entry(id).or_default() += 1;
            }
        }
        let most = counts.into_values().max().unwrap_or_default();
        suspect.count().saturating_sub(most)
    }

    /// Returns whether no answer has cleared a part since a crash, although one would have reached the
    /// stage for it.
    fn is_suspected_by_now(&self, part: PartId, record: &CrashRecord) -> bool {
        let age = self.now.since(record.learned_at);
        let mut suspected = self.starts.suspected(&record.evidence);
        suspected.any(|one| one.id == part && age >= one.cleared_by.time())
    }

    /// Returns those of `crashes` about which all evidence has arrived, and with it the answers that have
    /// reached `stage` since.
    fn settled(
        &self,
        stage: AnswerStage,
        crashes: u64,
    ) -> impl Iterator<Item = (usize, &CrashRecord)> {
        let settle_time = SETTLE_TIME + stage.time();
        self.records(crashes)
            .filter(move |(_, record)| self.now.since(record.learned_at) >= settle_time)
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
        if self.has_likelier_suspect(best, explained) {
            return false;
        }
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
        let leads = self.lead(best) >= MIN_LEAD;
        let has_few_starts = self.starts.log(best.stage).count_since(first_at) < MIN_STARTS;
        let events = if has_few_starts && !leads {
            MIN_CRASHES_WITHOUT_STARTS
        } else if tied.is_empty() && addresses.len() > 1 && !has_few_starts {
            MIN_CRASHES
        } else {
            MIN_CRASHES_WITHOUT_CONTRAST
        };
        // A crash cuts off many answers that have just begun.
        let events = events + usize::from(best.stage == AnswerStage::Running && !leads);
        let other_crashes = self
            .records(!explained)
            .filter(|(_, record)| {
                record.evidence.at + OTHER_CRASHES_BEFORE > first_at
                    && !record.evidence.has_part(best.part)
            })
            .count();
        let other_suspects = self.remaining(suspects, best.crashes | explained).len();
        let crashes = events + other_crashes / OTHER_CRASHES_PER_CRASH + other_suspects;
        let is_dense = Self::is_dense(&best) && self.starts.served_at(best.part).is_none();
        let best_events = best.events + usize::from(is_dense);
        best_events >= events && best.count() as usize >= crashes
    }

    /// Returns whether several crashes in quick succession, twice, count as three single ones.
    ///
    /// A popular part may have these while most servers fail for another reason; if it is known to
    /// have been served, they are not enough.
    fn is_dense(suspect: &Suspect) -> bool {
        suspect.stage == AnswerStage::Begun
            && suspect.events == MIN_CRASHES - 1
            && suspect.count() >= MIN_CRASHES_IN_FEWER_EVENTS
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
                .filter(|(_, record)| self.starts.is_suspected(suspect.part, &record.evidence))
                .count();
            (crashes, self.starts.served_at(suspect.part).is_none())
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
            alternatives: self.alternatives(suspect),
        })
    }

    /// Returns the other parts that explain the crashes of a suspect, in ascending order.
    ///
    /// Fewer crashes are enough only if each other part lacks one of them.
    fn alternatives(&self, suspect: Suspect) -> Vec<PartId> {
        if (suspect.count() as usize) < MIN_CRASHES_WITHOUT_CONTRAST {
            return Vec::new();
        }
        let is_suspected = |part: &SuspectedPart, record: &CrashRecord| {
            !self.starts.clears(*part, record.evidence.at)
        };
        let mut parts: Vec<_> = self.common_parts(suspect, is_suspected).collect();
        parts.sort_unstable();
        parts.truncate(MAX_ALTERNATIVES);
        parts
    }
}
