//! Log of recent requests and the decisions about them.

use std::collections::VecDeque;

use hawthornquay_callers::RequestOutcome;
use hawthornquay_decisions::{Execution, Map, OrganisationId, RequestId};
use parking_lot::Mutex;

use crate::Decision;

/// Largest number of requests in the log, which limits it to a few megabytes.
const MAX_ENTRIES: usize = 8_192;

struct Entry {
    organisation: Option<OrganisationId>,
    execution: Execution,
    finished: bool,
    status: Option<u16>,
    decisions: Vec<Decision>,
}

#[derive(Default)]
struct Entries {
    by_id: Map<RequestId, Entry>,
    order: VecDeque<RequestId>,
}

/// Log of recent requests in memory, without their bodies and answers.
#[derive(Default)]
pub struct RequestLog {
    entries: Mutex<Entries>,
}

impl RequestLog {
    /// Adds an entry for a request, which counts as not run until an attempt starts.
    pub fn open(&self, id: &RequestId, organisation: Option<&OrganisationId>) {
        let entry = Entry {
            organisation: organisation.cloned(),
            execution: Execution::NotRun,
            finished: false,
            status: None,
            decisions: Vec::new(),
        };
        let mut entries = self.entries.lock();
        if entries.by_id.insert(id.clone(), entry).is_none() {
            entries.order.push_back(id.clone());
        }
        if entries.order.len() > MAX_ENTRIES
            && let Some(oldest) = entries.order.pop_front()
        {
            entries.by_id.remove(&oldest);
        }
    }

    /// Adds a decision to the entry of a request.
    pub fn record(&self, id: &RequestId, decision: Decision) {
        if let Some(entry) = self.entries.lock().by_id.get_mut(id) {
            entry.decisions.push(decision);
        }
    }

    /// Sets whether a request has run, as far as known.
    pub fn set_execution(&self, id: &RequestId, execution: Execution) {
        if let Some(entry) = self.entries.lock().by_id.get_mut(id) {
            entry.execution = execution;
        }
    }

    /// Marks a request as finished with the HTTP status sent to the caller.
    pub fn close(&self, id: &RequestId, status: u16) {
        if let Some(entry) = self.entries.lock().by_id.get_mut(id) {
            entry.finished = true;
            entry.status = Some(status);
        }
    }

    /// Returns the outcome of a request, if it is in the log and belongs to `organisation`.
    pub fn outcome(
        &self,
        id: &RequestId,
        organisation: Option<&OrganisationId>,
    ) -> Option<RequestOutcome> {
        let entries = self.entries.lock();
        let entry = entries.by_id.get(id)?;
        (entry.organisation.as_ref() == organisation).then(|| outcome(id, entry))
    }

    /// Returns the outcome of a request of any organisation, for operators.
    pub fn explain(&self, id: &RequestId) -> Option<RequestOutcome> {
        self.entries
            .lock()
            .by_id
            .get(id)
            .map(|entry| outcome(id, entry))
    }
}

fn outcome(id: &RequestId, entry: &Entry) -> RequestOutcome {
    RequestOutcome {
        request_id: id.clone(),
        execution: entry.execution,
        finished: entry.finished,
        status: entry.status,
        decisions: entry.decisions.iter().map(Decision::to_string).collect(),
    }
}
