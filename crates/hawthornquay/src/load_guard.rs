//! Load of one attempt on a backend server or failure domain.

use std::sync::Arc;

use hawthornquay_decisions::{LoadKey, LoadOutcome, LoadTicket};

use crate::{Node, clock};

/// Counts an attempt in the load view until [`Self::finish`] is called or the guard is dropped.
pub struct LoadGuard {
    node: Arc<Node>,
    ticket: Option<LoadTicket>,
}

impl LoadGuard {
    /// Counts an attempt on `key`.
    pub fn new(node: &Arc<Node>, key: LoadKey, prefill_tokens: u64) -> Self {
        let ticket = node
            .routing
            .lock()
            .view
            .record_sent(key, prefill_tokens, clock::now());
        node.queue.signal_request_sent();
        Self {
            node: Arc::clone(node),
            ticket: Some(ticket),
        }
    }

    /// Ends the attempt with an outcome.
    pub fn finish(mut self, outcome: LoadOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: LoadOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.node
                .routing
                .lock()
                .view
                .record_ended(ticket, outcome, clock::now());
            self.node.queue.signal_server_free();
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.end(LoadOutcome::Cancelled);
    }
}
