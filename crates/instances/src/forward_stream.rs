//! Receiver of the response to a forwarded request.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use hawthornquay_decisions::{Execution, InstanceId};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    Body, Envelope, ForwardCancel, ForwardCredit, ForwardEvent, LinkError, STREAM_WINDOW_BYTES,
    link::Link, write_state::WriteState,
};

/// Number of consumed bytes after which credit is sent, so that not every chunk causes a message.
const CREDIT_STEP_BYTES: usize = STREAM_WINDOW_BYTES / 4;

/// Stream of the events of a response to a forwarded request.
///
/// Dropping the stream before the last event cancels the request at the peer.
pub struct ForwardStream {
    pub(crate) link: Arc<Link>,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) write_state: WriteState,
    pub(crate) events: UnboundedReceiver<ForwardEvent>,
    pub(crate) buffered: Arc<AtomicUsize>,
    pub(crate) consumed: usize,
    pub(crate) has_reply: bool,
    pub(crate) finished: bool,
}

impl ForwardStream {
    /// Returns the instance and incarnation that the request was sent to.
    pub fn peer(&self) -> &InstanceId {
        &self.link.peer
    }

    /// Returns the next event, or `None` after the last event or an error.
    ///
    /// The future is cancel-safe: dropping it loses no event.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::LinkEnded`] if the link ended, and [`LinkError::Protocol`] if the peer
    /// violated the protocol.
    pub async fn next(&mut self) -> Option<Result<ForwardEvent, LinkError>> {
        if self.finished {
            return None;
        }
        if self.consumed >= CREDIT_STEP_BYTES {
            self.send_credit().await;
        }
        let Some(event) = self.events.recv().await else {
            self.finished = true;
            return Some(Err(self.end_error()));
        };
        self.has_reply = true;
        self.consumed += event.buffered_len();
        self.buffered
            .fetch_sub(event.buffered_len(), Ordering::AcqRel);
        self.finished = event.is_last();
        Some(Ok(event))
    }

    /// Cancels the request and returns whether the peer may have run it.
    pub fn cancel(self) -> Execution {
        self.write_state.cancel()
    }

    async fn send_credit(&mut self) {
        let credit = ForwardCredit {
            bytes: u32::try_from(self.consumed).unwrap_or(u32::MAX),
        };
        let envelope = self.envelope(Body::ForwardCredit(credit));
        // If the link has ended, reading the next event returns the error.
        if self.link.send_queue.send(envelope, None).await {
            self.consumed = 0;
        }
    }

    fn end_error(&self) -> LinkError {
        let name = self.link.peer.name.clone();
        if self.link.closed.is_cancelled() {
            let execution = match self.write_state.cancel() {
                Execution::Unknown
                    if self.link.is_drained.load(Ordering::Acquire) && !self.has_reply =>
                {
                    Execution::NotRun
                }
                execution => execution,
            };
            return LinkError::LinkEnded { name, execution };
        }
        self.send_cancel();
        LinkError::Protocol {
            name,
            reason: "it exceeded the flow-control window or sent an unexpected message",
        }
    }

    fn send_cancel(&self) {
        self.link.remove_pending(self.sequence);
        if self.write_state.cancel() == Execution::NotRun {
            return;
        }
        self.link
            .send_queue
            .send_detached(self.envelope(Body::ForwardCancel(ForwardCancel {})));
    }

    const fn envelope(&self, body: Body) -> Envelope {
        Envelope::of_call(self.incarnation, self.sequence, body)
    }
}

impl Drop for ForwardStream {
    fn drop(&mut self) {
        if !self.finished {
            self.send_cancel();
        }
    }
}
