//! Bounded list of the latest answers by prompt part.

use std::{collections::VecDeque, time::Duration};

use crate::{
    AnswerStage, EvidenceScope, Map, MonotonicTime, PartId, PartStart, SuspectedPart,
    crash_log::CrashLog, start_record::StartRecord,
};

/// Number of parts without a crash whose latest start is kept.
const MAX_STARTS: usize = 1_024;

/// Time for which the start of a part without a crash is kept, so that it still clears the part of
/// a crash that this instance learns of later.
const START_LIFETIME: Duration = Duration::from_secs(10);

/// Number of starts that are counted.
const MAX_RECENT: usize = 8;

/// Difference up to which the times of two instances may be wrong against each other.
const CLOCK_ERROR: Duration = Duration::from_millis(300);

/// Latest answer that has reached a stage to a request with each of the recent parts.
#[derive(Clone, Debug)]
pub(crate) struct StartLog {
    stage: AnswerStage,
    starts: Map<PartId, StartRecord>,
    /// Times at which the latest starts were recorded.
    recent: VecDeque<MonotonicTime>,
    /// Number of starts above which the next insertion removes some.
    prune_above: usize,
}

impl StartLog {
    /// Returns a log without answers.
    pub(crate) fn new(stage: AnswerStage) -> Self {
        Self {
            stage,
            starts: Map::default(),
            recent: VecDeque::new(),
            prune_above: 0,
        }
    }

    /// Returns the latest start of `part`.
    pub(crate) fn at(&self, part: PartId) -> Option<MonotonicTime> {
        self.starts.get(&part).map(|start| start.at)
    }

    /// Counts a start of any part.
    pub(crate) fn count_one(&mut self, at: MonotonicTime) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(at);
    }

    /// Returns how many of the recent starts are later than `since`, up to a bound.
    pub(crate) fn count_since(&self, since: MonotonicTime) -> usize {
        self.recent.iter().filter(|&&at| at > since).count()
    }

    /// Returns whether an answer to a request with `part` began after a crash at `crash_at`.
    pub(crate) fn clears(&self, part: PartId, crash_at: MonotonicTime) -> bool {
        self.at(part).is_some_and(|at| at > crash_at)
    }

    /// Records an answer to a request of this instance that began at `at`; ignored if a later one is
    /// known.
    pub(crate) fn record_own(
        &mut self,
        now: MonotonicTime,
        part: PartId,
        at: MonotonicTime,
        crashes: &CrashLog,
    ) {
        if self.at(part).is_some_and(|known| at < known) {
            return;
        }
        let is_announced = self.is_announced(part, at, crashes);
        self.insert(now, part, at, true, is_announced);
        self.prune(now, crashes);
    }

    /// Records a start that another instance has reported.
    ///
    /// A start that is only a little later than the announced one may be the same one with a
    /// different error; it is not passed on, so that two instances do not return it to each other.
    pub(crate) fn record_received(
        &mut self,
        now: MonotonicTime,
        start: &PartStart,
        crashes: &CrashLog,
    ) {
        if self.at(start.part).is_some_and(|at| start.at <= at) {
            return;
        }
        let is_announced = self.is_announced(start.part, start.at, crashes)
            && self
                .announced(start.part)
                .is_none_or(|at| start.at.since(at) > CLOCK_ERROR);
        self.insert(now, start.part, start.at, false, is_announced);
        self.prune(now, crashes);
    }

    /// Returns whether a start at `at` clears `part` where the announced starts may not.
    ///
    /// Receivers see the times with an error, so that a start shortly after the crash may not clear
    /// the part there; further starts are announced until one is later than the error.
    fn is_announced(&self, part: PartId, at: MonotonicTime, crashes: &CrashLog) -> bool {
        let crash_at = crashes.latest_cleared_by(part, self.stage, at);
        crash_at.is_some_and(|crash_at| {
            self.announced(part)
                .is_none_or(|announced| announced <= crash_at + CLOCK_ERROR)
        })
    }

    fn announced(&self, part: PartId) -> Option<MonotonicTime> {
        self.starts.get(&part)?.announced
    }

    fn insert(
        &mut self,
        now: MonotonicTime,
        part: PartId,
        at: MonotonicTime,
        is_own: bool,
        is_announced: bool,
    ) {
        let record = self.starts.entry(part).or_insert(StartRecord {
            at,
            is_own,
            announced: None,
            sent_from: None,
        });
        record.at = at;
        record.is_own = is_own;
        if is_announced {
            record.announced = Some(at);
            record.sent_from = Some(now);
        }
    }

    /// Announces own starts of `parts` after a crash at `crash_at` that others do not know yet.
    pub(crate) fn announce_later_than(
        &mut self,
        now: MonotonicTime,
        parts: &[SuspectedPart],
        crash_at: MonotonicTime,
    ) {
        for part in parts.iter().filter(|part| part.cleared_by == self.stage) {
            if let Some(start) = self.starts.get_mut(&part.id)
                && start.is_own
                && start.at > crash_at
            {
                start.announced = Some(start.at);
                start.sent_from = Some(now);
            }
        }
    }

    /// Announces the start that ended a quarantine, so that others end theirs.
    pub(crate) fn announce(&mut self, now: MonotonicTime, part: PartId, at: MonotonicTime) {
        let at = self.at(part).map_or(at, |known| known.max(at));
        self.insert(now, part, at, true, true);
    }

    /// Returns the starts that are sent from within `window` before `now`, by part.
    pub(crate) fn recent(
        &self,
        now: MonotonicTime,
        window: Duration,
        scope: EvidenceScope,
    ) -> Vec<PartStart> {
        let mut starts: Vec<_> = self
            .starts
            .iter()
            .filter(|(_, start)| start.is_own || scope == EvidenceScope::All)
            .filter(|(_, start)| start.sent_from.is_some_and(|at| now.since(at) <= window))
            .map(|(&part, start)| PartStart {
                part,
                at: start.at,
                stage: self.stage,
            })
            .collect();
        starts.sort_unstable_by_key(|start| start.part);
        starts
    }

    /// Removes old starts of parts without a crash when there are too many starts.
    ///
    /// At least half of the bound is free afterwards, so that an insertion costs little on average.
    fn prune(&mut self, now: MonotonicTime, crashes: &CrashLog) {
        if self.starts.len() <= self.prune_above.max(MAX_STARTS) {
            return;
        }
        self.expire(now, crashes);
        let mut times: Vec<_> = self
            .starts
            .iter()
            .filter(|&(&part, _)| crashes.latest(part).is_none())
            .map(|(_, start)| start.at)
            .collect();
        if times.len() > MAX_STARTS / 2 {
            let oldest = times.len() - MAX_STARTS / 2;
            let (_, &mut cutoff, _) = times.select_nth_unstable(oldest);
            self.starts
                .retain(|&part, start| start.at > cutoff || crashes.latest(part).is_some());
        }
        self.prune_above = self.starts.len() + MAX_STARTS / 2;
    }

    /// Removes all starts that are neither recent nor of a part with a crash.
    pub(crate) fn expire(&mut self, now: MonotonicTime, crashes: &CrashLog) {
        self.starts.retain(|&part, start| {
            now.since(start.at.max(start.sent_from.unwrap_or_default())) < START_LIFETIME
                || crashes.latest(part).is_some()
        });
        self.prune_above = 0;
    }
}
