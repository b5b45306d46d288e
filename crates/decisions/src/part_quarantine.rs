//! Quarantine of prompt parts that crash backend servers.

use std::{net::SocketAddr, time::Duration};

use crate::{
    AnswerStage, BackendName, CrashEvidence, EvidenceScope, MonotonicTime, PartId, PartStart,
    PartVerdict, QuarantineChange, QuarantineUpdate, QuarantinedPart, Set, SuspectedPart,
    crash_log::CrashLog, quarantine_choice::QuarantineChoice, quarantine_table::QuarantineTable,
    stage_logs::StageLogs,
};

/// Time for which new evidence is sent: two rounds, and some time for a late one.
const SEND_DURATION: Duration = Duration::from_millis(700);

/// Greatest number of crashes in an update.
const MAX_CRASHES_PER_UPDATE: usize = 16;

/// Received crashes that are older are ignored.
///
/// Evidence takes about a second to reach all instances. The bound ends the exchange of crashes that
/// instances with a full list remove and receive again.
const MAX_RECEIVED_CRASH_AGE: Duration = Duration::from_secs(5);

/// Interval of decisions if this instance has learned of no further crash.
///
/// Updates may arrive many times as often, and only time or answers change the decision.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Number of a part's crashes without another part that exclude the other as their cause.
///
/// One such crash may be due to a server that failed for another reason.
const MAX_CRASHES_WITHOUT_ALTERNATIVE: usize = 2;

/// Finds the prompt parts that crash backend servers, from the evidence of all instances.
///
/// A part is quarantined if requests with it were among those that failed with several crashes at
/// different times and on different servers, and if no server has answered a request with it since. What
/// clears a part depends on how far the failed answers had come: an answer must have come further than
/// those, so that no request clears the parts that it carries itself.
///
/// Parts that occur in the same crashes are all quarantined, and single requests with some of them are
/// tried: an answer ends the quarantine of the parts of its request at all instances.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: CrashLog,
    starts: StageLogs,
    table: QuarantineTable,
    /// Time of the last decision, unless a crash was added since.
    decided_at: Option<MonotonicTime>,
    /// Parts that were quarantined at the last evaluation.
    reported: Set<PartId>,
}

impl PartQuarantine {
    /// Records that `server` crashed with a request with `parts`, which an answer clears that reaches
    /// the stage `cleared_by` (see [`AnswerStage::to_clear`]).
    ///
    /// Several requests may fail with the same crash; each of them is recorded.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        server: &BackendName,
        address: SocketAddr,
        parts: &[PartId],
        cleared_by: AnswerStage,
    ) {
        let parts = parts.iter().map(|&id| SuspectedPart { id, cleared_by });
        let crash = CrashEvidence {
            server: server.clone(),
            address,
            at: now,
            parts: parts.collect(),
        };
        self.add_crash(now, &crash, EvidenceScope::Local);
    }

    /// Records that the answer to a request with `parts`, which began at `began_at`, has reached `stage`.
    ///
    /// It may be recorded once for each stage.
    pub fn record_answer(
        &mut self,
        now: MonotonicTime,
        began_at: MonotonicTime,
        stage: AnswerStage,
        parts: &[PartId],
    ) {
        self.starts.count_one(stage, began_at);
        for &part in parts {
            let at = began_at;
            let start = PartStart { part, at, stage };
            self.starts.record_own(now, &start, &self.crashes);
            self.end_quarantine(now, &start);
        }
    }

    /// Adds the evidence of another instance.
    pub fn apply_update(&mut self, now: MonotonicTime, update: &QuarantineUpdate) {
        for crash in &update.crashes {
            if now.since(crash.at) <= MAX_RECEIVED_CRASH_AGE {
                let crash = CrashEvidence {
                    at: crash.at.min(now),
                    ..crash.clone()
                };
                self.add_crash(now, &crash, EvidenceScope::All);
            }
        }
        for start in &update.starts {
            let start = PartStart {
                at: start.at.min(now),
                ..*start
            };
            self.starts.count_one(start.stage, start.at);
            self.starts.record_received(now, &start, &self.crashes);
            self.end_quarantine(now, &start);
        }
        for reported in &update.quarantined {
            let start = self.starts.served_at(reported.part);
            if let Some(at) = self.table.adopt(now, reported.clone(), start) {
                self.starts.announce(now, reported.part, at);
            }
        }
    }

    /// Returns what was learned lately, to be sent to other instances, and all quarantined parts.
    pub fn update(&self, now: MonotonicTime, scope: EvidenceScope) -> QuarantineUpdate {
        let mut crashes: Vec<_> = self
            .crashes
            .records()
            .iter()
            .filter_map(|record| {
                let sent_from = record.sent_from(scope)?;
                (now.since(sent_from) <= SEND_DURATION).then_some((sent_from, record))
            })
            .collect();
        crashes.sort_by_key(|&(sent_from, _)| std::cmp::Reverse(sent_from));
        let mut crashes: Vec<_> = crashes
            .into_iter()
            .map(|(_, record)| CrashEvidence {
                parts: self.starts.suspected(&record.evidence).collect(),
                ..record.evidence.clone()
            })
            .filter(|crash| !crash.parts.is_empty())
            .take(MAX_CRASHES_PER_UPDATE)
            .collect();
        crashes.sort_by(|a, b| (a.at, &a.server).cmp(&(b.at, &b.server)));
        QuarantineUpdate {
            crashes,
            starts: self.starts.recent(now, SEND_DURATION, scope),
            quarantined: self.table.quarantined(now),
        }
    }

    /// Decides anew which parts are quarantined, and returns the changes since the last call.
    pub fn evaluate(&mut self, now: MonotonicTime) -> Vec<QuarantineChange> {
        self.table.expire(now);
        self.prune(now);
        let is_due = self
            .decided_at
            .is_none_or(|at| now.since(at) >= DECISION_INTERVAL);
        if is_due && !self.crashes.records().is_empty() {
            self.decided_at = Some(now);
            let choice = QuarantineChoice {
                now,
                crashes: &self.crashes,
                starts: &self.starts,
                table: &self.table,
            };
            for (quarantined, crashes) in choice.choose() {
                let was_served = self.starts.served_at(quarantined.part).is_some();
                self.table.insert(quarantined, crashes, was_served);
            }
            let Self {
                crashes,
                starts,
                table,
                ..
            } = self;
            table.retain_alternatives(|part, other| {
                starts.crashes_without(crashes, part, other).count()
                    < MAX_CRASHES_WITHOUT_ALTERNATIVE
            });
        }
        self.changes()
    }

    /// Returns whether a request with `parts` may be sent to a server.
    pub fn verdict(&self, now: MonotonicTime, parts: &[PartId]) -> PartVerdict {
        if self.table.is_empty() {
            return PartVerdict::Accepted;
        }
        let last_crash = |quarantined: &QuarantinedPart| {
            let alternatives = quarantined.alternatives.iter();
            alternatives
                .flat_map(|&other| {
                    self.starts
                        .crashes_without(&self.crashes, quarantined.part, other)
                })
                .map(|record| record.learned_at)
                .max()
        };
        self.table.verdict(now, parts, last_crash)
    }

    /// Begins the trial of a request with `parts` if one is possible now; returns whether the request may
    /// be sent to one server.
    pub fn begin_trial(&mut self, now: MonotonicTime, parts: &[PartId]) -> bool {
        let is_possible = matches!(
            self.verdict(now, parts),
            PartVerdict::Trial { possible_in, .. } if possible_in.is_zero()
        );
        if is_possible {
            self.table.record_trial(now, parts);
        }
        is_possible
    }

    /// Returns the first of `parts` that is quarantined, and the time until its quarantine ends.
    pub fn quarantined(&self, now: MonotonicTime, parts: &[PartId]) -> Option<(PartId, Duration)> {
        if self.table.is_empty() {
            return None;
        }
        parts
            .iter()
            .find_map(|&part| Some((part, self.table.remaining(now, part)?)))
    }

    fn add_crash(&mut self, now: MonotonicTime, crash: &CrashEvidence, scope: EvidenceScope) {
        let added = self.crashes.add(now, crash, scope);
        if !added.is_empty() {
            self.decided_at = None;
        }
        self.starts.announce_later_than(now, &added, crash.at);
        self.prune(now);
    }

    fn prune(&mut self, now: MonotonicTime) {
        let Self {
            crashes,
            starts,
            table,
            ..
        } = self;
        let known_causes = table.known_causes();
        crashes.prune(now, |crash| {
            let is_known_cause = |part: &SuspectedPart| known_causes.contains(&part.id);
            starts.suspected(crash).next().is_some() && !crash.parts.iter().any(is_known_cause)
        });
        starts.expire(now, crashes);
    }

    /// Ends the quarantine of a part if its answer shows that it is sound.
    fn end_quarantine(&mut self, now: MonotonicTime, start: &PartStart) {
        if start.stage == AnswerStage::Established && self.table.clear(start.part, start.at) {
            self.starts.announce(now, start.part, start.at);
        }
    }

    fn changes(&mut self) -> Vec<QuarantineChange> {
        let current: Vec<_> = self.table.crash_counts().collect();
        let parts: Set<_> = current.iter().map(|&(part, _)| part).collect();
        let mut released: Vec<_> = self.reported.difference(&parts).copied().collect();
        released.sort_unstable();
        let mut quarantined: Vec<_> = current
            .into_iter()
            .filter(|(part, _)| !self.reported.contains(part))
            .collect();
        quarantined.sort_unstable();
        self.reported = parts;
        let released = released.into_iter().map(QuarantineChange::Released);
        released
            .chain(
                quarantined
                    .into_iter()
                    .map(|(part, crashes)| QuarantineChange::Quarantined { part, crashes }),
            )
            .collect()
    }
}
