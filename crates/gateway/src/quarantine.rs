//! Evidence about prompt parts that crash backend servers, and the check of requests against it.

use std::{future, sync::Arc, time::Duration};

use hawthornquay_decisions::{
    AnswerStage, EvidenceScope, MonotonicTime, PartId, PartVerdict, QuarantineChange,
    QuarantineUpdate, QuarantinedPart, Refusal, RefusalCode, RequestId,
};
use hawthornquay_instances::Status;
use hawthornquay_traffic::{ServerPick, Work};
use tokio::time::sleep;

use crate::{ControlPlane, Gateway, HeaderMapping, gateway::now, with_quarantine_update};

/// Time from the break of a connection to the check whether the server has ended. A process that
/// ends may close its connections before its listening socket.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(15);

impl<C, H> Gateway<C, H> {
    /// Decides whether a request with `parts` may be sent to a server.
    pub(crate) fn part_verdict(&self, time: MonotonicTime, parts: &[PartId]) -> PartVerdict {
        if parts.is_empty() {
            return PartVerdict::Accepted;
        }
        self.quarantine.lock().verdict(time, parts)
    }

    /// Refuses work of which a prompt part is quarantined, unless a request with it may be tried now.
    ///
    /// # Errors
    ///
    /// Returns a refusal with execution `NotRun` that names the part.
    pub(crate) fn check_quarantine(&self, work: &Work) -> Result<(), Refusal> {
        match self.part_verdict(now(), &work.shared_part_ids()) {
            PartVerdict::Accepted => Ok(()),
            PartVerdict::Trial { possible_in, .. } if possible_in.is_zero() => Ok(()),
            PartVerdict::Trial { part, possible_in } => Err(trial_refusal(part, possible_in)),
            PartVerdict::Refused { part, ends_in } => Err(part_refusal(part, ends_in)),
        }
    }

    /// Begins the trial of the request `id` with `parts`, if one is possible now.
    pub(crate) fn begin_trial(&self, id: &RequestId, parts: &[PartId]) -> bool {
        let has_begun = self.quarantine.lock().begin_trial(now(), parts);
        if has_begun {
            self.metrics.count_part_trial();
            slog::info!(self.log.requests, "request with a quarantined prompt part tried";
                "id" => id.as_str(), "parts" => parts_hex(parts));
        }
        has_begun
    }

    /// Waits until requests with `parts` are refused.
    ///
    /// One that tells a quarantined part from others goes on, since its answer ends the quarantine.
    pub(crate) async fn parts_refused(&self, parts: &[PartId]) {
        if parts.is_empty() {
            return future::pending().await;
        }
        let mut changes = self.quarantine_changed.subscribe();
        while !matches!(self.part_verdict(now(), parts), PartVerdict::Refused { .. }) {
            if changes.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }

    /// Records that the answer to a request with `parts`, which began at `began_at`, has reached `stage`.
    pub(crate) fn record_answer(
        &self,
        began_at: MonotonicTime,
        stage: AnswerStage,
        parts: &[PartId],
    ) {
        if !parts.is_empty() {
            let mut quarantine = self.quarantine.lock();
            quarantine.record_answer(now(), began_at, stage, parts);
        }
    }

    /// Adds the evidence of another instance.
    pub(crate) fn apply_quarantine_update(&self, time: MonotonicTime, update: &QuarantineUpdate) {
        if !update.is_empty() {
            self.quarantine.lock().apply_update(time, update);
            self.evaluate_quarantine(time);
        }
    }

    /// Returns `status` with the evidence to send to other instances.
    pub(crate) fn add_evidence(
        &self,
        status: Status,
        time: MonotonicTime,
        scope: EvidenceScope,
    ) -> Status {
        let update = self.quarantine.lock().update(time, scope);
        with_quarantine_update(status, time, &update)
    }

    /// Decides anew which parts are quarantined. Logs the changes and ends the attempts that wait
    /// for an answer to a request with a part that is now quarantined.
    pub(crate) fn evaluate_quarantine(&self, time: MonotonicTime) {
        let (changes, parts) = {
            let mut quarantine = self.quarantine.lock();
            let changes = quarantine.evaluate(time);
            if changes.is_empty() {
                return;
            }
            let all = quarantine.update(time, EvidenceScope::All);
            (changes, all.quarantined)
        };
        self.metrics.set_quarantined_parts(parts.len());
        for change in changes {
            match change {
                QuarantineChange::Quarantined { part, crashes } => {
                    slog::warn!(self.log.requests, "prompt part quarantined";
                        "part" => part_hex(part), "crashes" => crashes,
                        "alternatives" => alternatives(&parts, part));
                }
                QuarantineChange::Released(part) => {
                    slog::warn!(self.log.requests, "prompt part released";
                        "part" => part_hex(part));
                }
            }
        }
        self.quarantine_changed.send_replace(());
    }
}

/// Records the crash of a backend server whose connection broke during the request `id` with `parts`, once
/// it is confirmed that the server has ended. An answer of the stage `cleared_by` clears the parts.
///
/// A server that is leaving or is not listed any more ends without being at fault, and a connection
/// may break while its server runs on. Neither is evidence against `parts`. Does not wait for the
/// confirmation, so that it does not delay the next attempt.
pub(crate) fn confirm_crash<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    id: &RequestId,
    pick: &ServerPick,
    parts: &[PartId],
    cleared_by: AnswerStage,
) {
    if parts.is_empty() || !gateway.servers.lock().is_active(&pick.id) {
        return;
    }
    let failed_at = now();
    let (gateway, id, parts) = (gateway.clone(), id.clone(), parts.to_vec());
    let (server, address) = (pick.id.clone(), pick.address);
    tokio::spawn(async move {
        sleep(CRASH_CHECK_DELAY).await;
        if !gateway.backends.refuses_connections(address).await {
            return;
        }
        // Several requests may fail with one crash, which is counted once.
        let is_known = {
            let mut quarantine = gateway.quarantine.lock();
            let known = quarantine.update(failed_at, EvidenceScope::Local);
            quarantine.record_crash(failed_at, &server, address, &parts, cleared_by);
            known.crashes.iter().any(|crash| crash.server == server)
        };
        if !is_known {
            gateway.metrics.count_backend_crash();
        }
        if let Some(suppressed) = gateway.log.request_log_limit.admit_line(failed_at) {
            slog::warn!(gateway.log.requests, "backend server crashed during a request";
                "id" => id.as_str(),
                "server" => server.as_str(),
                "address" => %address,
                "parts" => parts_hex(&parts),
                "cleared_by" => ?cleared_by,
                "suppressed" => suppressed,
            );
        }
        gateway.evaluate_quarantine(now());
    });
}

/// Returns the refusal of a request that has not run, for the quarantine of `part`.
pub(crate) fn part_refusal(part: PartId, ends_in: Duration) -> Refusal {
    let message = format!(
        "requests with the prompt part {} crash backend servers",
        part_hex(part)
    );
    Refusal::not_run(RefusalCode::PromptQuarantined, &message).with_retry_after(ends_in)
}

/// Returns the refusal of a request that has not run because another one with `part` is being tried.
pub(crate) fn trial_refusal(part: PartId, possible_in: Duration) -> Refusal {
    let message = format!(
        "requests with the prompt part {} may crash backend servers, and another one is being tried",
        part_hex(part)
    );
    Refusal::not_run(RefusalCode::PromptQuarantined, &message).with_retry_after(possible_in)
}

/// Returns the other parts that explain the crashes of `part`, as they are written to logs.
fn alternatives(quarantined: &[QuarantinedPart], part: PartId) -> String {
    let found = quarantined.iter().find(|one| one.part == part);
    found.map_or_else(String::new, |one| parts_hex(&one.alternatives))
}

/// Returns prompt parts as they are written to logs.
fn parts_hex(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| part_hex(*part)).collect();
    parts.join(" ")
}

/// Returns a prompt part as it is written to logs.
pub(crate) fn part_hex(part: PartId) -> String {
    format!("{:016x}", part.0)
}
