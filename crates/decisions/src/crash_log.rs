//! Bounded list of recent crashes of backend servers.

use std::time::Duration;

use crate::{
    AnswerStage, CrashEvidence, EvidenceScope, Map, MonotonicTime, PartId, Set, SuspectedPart,
    crash_record::CrashRecord,
};

/// Greatest number of crashes that are kept; a set of them fits into a `u64`.
pub(crate) const MAX_CRASHES: usize = 64;

/// Greatest number of parts that are kept of a crash.
const MAX_PARTS_PER_CRASH: usize = 256;

/// Time for which a crash is kept.
const CRASH_LIFETIME: Duration = Duration::from_secs(300);

/// Reports about one server that are at most this far apart describe the same crash.
const MERGE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval in which several servers may fail for one reason, for example the loss of a rack.
pub(crate) const COMMON_CAUSE_INTERVAL: Duration = Duration::from_millis(300);

/// Recent crashes of backend servers, in the order of their times.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    records: Vec<CrashRecord>,
    /// Time of the latest crash of each part in `records`.
    latest: Map<PartId, MonotonicTime>,
}

impl CrashLog {
    /// Returns the crashes in the order of their times.
    pub(crate) fn records(&self) -> &[CrashRecord] {
        &self.records
    }

    /// Returns the time of the latest crash with `part`.
    pub(crate) fn latest(&self, part: PartId) -> Option<MonotonicTime> {
        self.latest.get(&part).copied()
    }

    /// Returns the time of the latest crash before `at` with `part` that an answer of `stage` clears, but
    /// none of an earlier stage.
    pub(crate) fn latest_cleared_by(
        &self,
        part: PartId,
        stage: AnswerStage,
        at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.latest.get(&part)?;
        let suspected = SuspectedPart {
            id: part,
            cleared_by: stage,
        };
        self.records
            .iter()
            .map(|record| &record.evidence)
            .filter(|crash| crash.at < at)
            .filter(|crash| crash.parts.binary_search(&suspected).is_ok())
            .map(|crash| crash.at)
            .max()
    }

    /// Adds a crash or what is not known yet of its parts; returns these parts.
    pub(crate) fn add(
        &mut self,
        now: MonotonicTime,
        crash: &CrashEvidence,
        scope: EvidenceScope,
    ) -> Vec<SuspectedPart> {
        let mut parts = crash.parts.clone();
        parts.sort_unstable();
        parts.dedup();
        let known = self.records.iter().position(|record| {
            record.evidence.server == crash.server
                && record.evidence.at.since(crash.at) <= MERGE_INTERVAL
                && crash.at.since(record.evidence.at) <= MERGE_INTERVAL
        });
        if let Some(index) = known {
            let kept = &self.records[index].evidence.parts;
            parts.retain(|part| kept.binary_search(part).is_err());
        }
        if parts.is_empty() {
            return parts;
        }
        let mut record = known.map_or_else(
            || CrashRecord {
                evidence: CrashEvidence {
                    parts: Vec::new(),
                    ..crash.clone()
                },
                learned_at: now,
                grown_at: now,
                seen_at: None,
            },
            |index| self.records.remove(index),
        );
        let before = record.evidence.parts.clone();
        record.evidence.at = record.evidence.at.min(crash.at);
        record.evidence.parts.extend_from_slice(&parts);
        self.truncate(&mut record.evidence.parts);
        parts.retain(|part| record.evidence.parts.binary_search(part).is_ok());
        if record.evidence.parts != before {
            record.grown_at = now;
            if scope == EvidenceScope::Local {
                record.seen_at = Some(now);
            }
        }
        for part in &record.evidence.parts {
            let latest = self.latest.entry(part.id).or_default();
            *latest = record.evidence.at.max(*latest);
        }
        let index = self
            .records
            .partition_point(|other| sort_key(&other.evidence) < sort_key(&record.evidence));
        self.records.insert(index, record);
        parts
    }

    /// Sorts `parts` and keeps those that occur in most crashes, up to the bound.
    fn truncate(&self, parts: &mut Vec<SuspectedPart>) {
        if parts.len() > MAX_PARTS_PER_CRASH {
            let mut counts: Map<PartId, usize> = Map::default();
            for record in &self.records {
                for part in &record.evidence.parts {
                    *counts.entry(part.id).or_default() += 1;
                }
            }
            parts.sort_unstable_by_key(|part| {
                let count = counts.get(&part.id).copied().unwrap_or_default();
                (std::cmp::Reverse(count), *part)
            });
            parts.truncate(MAX_PARTS_PER_CRASH);
        }
        parts.sort_unstable();
    }

    /// Removes expired crashes, and some of the others when there are too many.
    ///
    /// Those for which `is_relevant` is false are removed first, then those that are closest in time
    /// to others. In a large fleet, a crashing part ends more servers in a second than are kept, and
    /// the evidence has to span the time that a decision needs.
    pub(crate) fn prune(
        &mut self,
        now: MonotonicTime,
        is_relevant: impl Fn(&CrashEvidence) -> bool,
    ) {
        let count = self.records.len();
        self.records
            .retain(|record| now.since(record.evidence.at) < CRASH_LIFETIME);
        while self.records.len() > MAX_CRASHES {
            let index = self
                .records
                .iter()
                .position(|record| !is_relevant(&record.evidence))
                .unwrap_or_else(|| self.densest());
            self.records.remove(index);
        }
        if self.records.len() < count {
            self.rebuild_latest();
        }
    }

    /// Returns the crash with most others close to it in time; of several, the newest.
    ///
    /// If it were the oldest, the list would span no more time than without this choice.
    fn densest(&self) -> usize {
        let neighbours = |index: usize| {
            let at = self.records[index].evidence.at;
            self.records
                .iter()
                .filter(|other| {
                    other.evidence.at.since(at) < COMMON_CAUSE_INTERVAL
                        && at.since(other.evidence.at) < COMMON_CAUSE_INTERVAL
                })
                .count()
        };
        (0..self.records.len())
            .max_by_key(|&index| (neighbours(index), index))
            .unwrap_or_default()
    }

    fn rebuild_latest(&mut self) {
        self.latest.clear();
        for record in &self.records {
            for part in &record.evidence.parts {
                let latest = self.latest.entry(part.id).or_default();
                *latest = record.evidence.at.max(*latest);
            }
        }
    }

    /// Returns the crashes that contain one of `parts`, as a set of indexes.
    pub(crate) fn with_parts(&self, parts: &Set<PartId>) -> u64 {
        self.records
            .iter()
            .enumerate()
            .filter(|(_, record)| {
                record
                    .evidence
                    .parts
                    .iter()
                    .any(|part| parts.contains(&part.id))
            })
            .fold(0, |crashes, (index, _)| crashes | 1 << index)
    }
}

fn sort_key(crash: &CrashEvidence) -> (MonotonicTime, &str) {
    (crash.at, crash.server.as_str())
}
