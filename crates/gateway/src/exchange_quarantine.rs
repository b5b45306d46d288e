//! Refusal of requests whose prompt parts crash backend servers.

use std::fmt::Write;

use hawthornquay_decisions::{Execution, Refusal, RefusalCode};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping,
    gateway::now,
    quarantine::{part_hex, part_refusal},
};

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Refuses the request if a part of its prompt is quarantined.
    pub(crate) fn check_quarantine(&mut self) -> Result<(), Refusal> {
        let parts = self.request.work.shared_part_ids();
        let Some((part, ends_in)) = self.gateway.quarantined_part(now(), &parts) else {
            return Ok(());
        };
        let _ = write!(self.attempt_trace, "quarantined:{} ", part_hex(part));
        Err(self.quarantine_refusal(part_refusal(part, ends_in)))
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
