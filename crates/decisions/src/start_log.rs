//! Bounded list of the latest answers by prompt part.

use std::time::Duration;

use crate::{
    EvidenceScope, Map, MonotonicTime, PartId, PartStart, crash_log::CrashLog,
    start_record::StartRecord,
};

/// Number of parts without a crash whose latest start is kept.
const MAX_STARTS: usize = 1_024;

/// Time for which the start of a part without a crash is kept, so that it still clears the part of
/// a crash that this instance learns of later.
const START_LIFETIME: Duration = Duration::from_secs(10);

/// Difference up to which the times of two instances may be wrong against each other.
pub(crate) const CLOCK_ERROR: Duration = Duration::from_millis(300);

/// Latest answer that began to a request with each of the recent parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartLog {
    starts: Map<PartId, StartRecord>,
    /// Latest start of any part.
    latest: Option<MonotonicTime>,
    /// Number of starts above which the next insertion removes some.
    prune_above: usize,
}

impl StartLog {
    /// Returns the latest start of `part`.
    pub(crate) fn at(&self, part: PartId) -> Option<MonotonicTime> {
        self.starts.get(&part).map(|start| start.at)
    }

    /// Returns the latest start of any part.
    pub(crate) const fn latest(&self) -> Option<MonotonicTime> {
        self.latest
    }

    /// Returns whether an answer to a request with `part` began after a crash at `crash_at`.
    pub(crate) fn clears(&self, part: PartId, crash_at: MonotonicTime) -> bool {
        self.at(part).is_some_and(|at| at > crash_at)
    }

    /// Records the start of a request of this instance.
    pub(crate) fn record_own(&mut self, now: MonotonicTime, part: PartId, crashes: &CrashLog) {
        let is_news = self.is_news(part, now, crashes);
        self.insert(part, now, true, is_news.then_some(now));
        self.prune(now, crashes);
    }

    /// Records a start that another instance has reported.
    ///
    /// A start that is only a little later than the known one may be the same one with a different
    /// error; it is not passed on, so that two instances do not return it to each other.
    pub(crate) fn record_received(
        &mut self,
        now: MonotonicTime,
        start: PartStart,
        crashes: &CrashLog,
    ) {
        let known = self.at(start.part);
        if known.is_some_and(|at| start.at <= at) {
            return;
        }
        let is_news = known.is_none_or(|at| start.at.since(at) > CLOCK_ERROR)
            && self.is_news(start.part, start.at, crashes);
        let news_at = is_news
            .then_some(now)
            .or_else(|| self.starts.get(&start.part).and_then(|known| known.news_at));
        self.insert(start.part, start.at, false, news_at);
        self.prune(now, crashes);
    }

    /// Returns whether a start at `at` clears `part` where the known starts may not.
    ///
    /// Receivers see the times with an error, so that a start shortly after the crash may not clear
    /// the part there; further starts are passed on until one is later than the error.
    fn is_news(&self, part: PartId, at: MonotonicTime, crashes: &CrashLog) -> bool {
        crashes.latest(part).is_some_and(|crash_at| {
            at > crash_at
                && self
                    .at(part)
                    .is_none_or(|known| known <= crash_at + CLOCK_ERROR)
        })
    }

    fn insert(
        &mut self,
        part: PartId,
        at: MonotonicTime,
        is_own: bool,
        news_at: Option<MonotonicTime>,
    ) {
        self.latest = self.latest.max(Some(at));
        let news_at = news_at.or_else(|| self.starts.get(&part).and_then(|start| start.news_at));
        self.starts.insert(
            part,
            StartRecord {
                at,
                is_own,
                news_at,
            },
        );
    }

    /// Marks own starts of `parts` after a crash at `crash_at`, which others do not know yet.
    pub(crate) fn announce_later_than(
        &mut self,
        now: MonotonicTime,
        parts: &[PartId],
        crash_at: MonotonicTime,
    ) {
        for part in parts {
            if let Some(start) = self.starts.get_mut(part)
                && start.is_own
                && start.at > crash_at
            {
                start.news_at = Some(now);
            }
        }
    }

    /// Marks the start that ended a quarantine, so that others end theirs.
    pub(crate) fn announce(&mut self, now: MonotonicTime, part: PartId, at: MonotonicTime) {
        let at = self.at(part).map_or(at, |known| known.max(at));
        self.insert(part, at, true, Some(now));
    }

    /// Returns the starts that became news within `window` before `now`, by part.
    pub(crate) fn news(
        &self,
        now: MonotonicTime,
        window: Duration,
        scope: EvidenceScope,
    ) -> Vec<PartStart> {
        let mut starts: Vec<_> = self
            .starts
            .iter()
            .filter(|(_, start)| start.is_own || scope == EvidenceScope::All)
            .filter(|(_, start)| start.news_at.is_some_and(|at| now.since(at) <= window))
            .map(|(&part, start)| PartStart { part, at: start.at })
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
            now.since(start.at.max(start.news_at.unwrap_or_default())) < START_LIFETIME
                || crashes.latest(part).is_some()
        });
        self.prune_above = 0;
    }
}
