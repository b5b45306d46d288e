//! Run of a request by a plain service.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::{ServiceFaults, service_state::ServiceState};

/// Run that counts towards the running requests until it is dropped.
#[derive(Debug)]
pub(crate) struct ServiceRun {
    state: Arc<Mutex<ServiceState>>,
    count: u64,
}

impl ServiceRun {
    /// Counts a run of the request `id`; returns `None` if the service is leaving.
    pub(crate) fn start(
        state: &Arc<Mutex<ServiceState>>,
        id: &str,
    ) -> Option<(Self, ServiceFaults)> {
        let mut locked = state.lock();
        if locked.faults.leaving {
            return None;
        }
        locked.running += 1;
        let runs = locked.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let run = Self {
            state: Arc::clone(state),
            count: *runs,
        };
        Some((run, locked.faults))
    }

    /// Returns how often the request has been run, including this run.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

impl Drop for ServiceRun {
    fn drop(&mut self) {
        self.state.lock().running -= 1;
    }
}
