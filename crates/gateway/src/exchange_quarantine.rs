//! Refusal of requests whose prompt parts crash backend servers.

use std::fmt::Write;

use hawthornquay_decisions::{Execution, PartVerdict, Refusal, RefusalCode};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping,
    gateway::now,
    quarantine::{part_hex, part_refusal, trial_refusal},
};

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Refuses the request if a part of its prompt is quarantined, unless it is or may be tried.
    pub(crate) fn check_quarantine(&mut self) -> Result<(), Refusal> {
        let parts = self.request.work.shared_part_ids();
        let (part, refusal) = match self.gateway.part_verdict(now(), &parts) {
            PartVerdict::Accepted => return Ok(()),
            // One server at most, as the request may crash it.
            PartVerdict::Trial { possible_in, .. }
                if self.execution == Execution::NotRun
                    && (self.is_trial || possible_in.is_zero()) =>
            {
                return Ok(());
            }
            PartVerdict::Trial { part, possible_in } => (part, trial_refusal(part, possible_in)),
            PartVerdict::Refused { part, ends_in } => (part, part_refusal(part, ends_in)),
        };
        let _ = write!(self.attempt_trace, "quarantined:{} ", part_hex(part));
        Err(self.quarantine_refusal(refusal))
    }

    /// Begins the trial of the request if a part of its prompt is quarantined. Returns whether the request
    /// may be sent; if not, [`Self::check_quarantine`] refuses it.
    pub(crate) fn begin_trial(&mut self) -> bool {
        let parts = self.request.work.shared_part_ids();
        match self.gateway.part_verdict(now(), &parts) {
            PartVerdict::Accepted => true,
            PartVerdict::Refused { .. } => false,
            PartVerdict::Trial { .. } if self.is_trial => true,
            PartVerdict::Trial { part, .. } => {
                self.is_trial = self.gateway.begin_trial(&self.request.id, &parts);
                if self.is_trial {
                    let _ = write!(self.attempt_trace, "trial:{} ", part_hex(part));
                }
                self.is_trial
            }
        }
    }

    /// Refuses the request if another instance refused it for a quarantined part: a quarantine
    /// holds in all regions.
    pub(crate) fn check_peer_quarantine(
        &mut self,
        failure: &AttemptFailure,
    ) -> Result<(), Refusal> {
        let AttemptCause::Peer {
            code: RefusalCode::PromptQuarantined,
            message,
            retry_after,
        } = &failure.cause
        else {
            return Ok(());
        };
        // The message names the part, which need not be known here yet.
        let _ = write!(self.attempt_trace, "({message}) ");
        let mut refusal = Refusal::not_run(RefusalCode::PromptQuarantined, message);
        refusal.retry_after = *retry_after;
        Err(self.quarantine_refusal(refusal))
    }

    /// Returns `refusal`, or one with the same message and time if the request may have run.
    ///
    /// The code tells another instance not to try the request elsewhere. Callers get that of a
    /// failed backend server instead, since the status of the former promises that it has not run.
    fn quarantine_refusal(&self, refusal: Refusal) -> Refusal {
        if self.execution == Execution::NotRun {
            return refusal;
        }
        let code = if self.request.forwarded {
            refusal.code
        } else {
            RefusalCode::BackendFailed
        };
        Refusal {
            retry_after: refusal.retry_after,
            ..Refusal::unknown(code, &refusal.message)
        }
    }
}
