//! Sender of the response to a forwarded request.

use std::sync::Arc;

use bytes::Bytes;
use hawthornquay_decisions::{Execution, Map};
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::{
    Body, Envelope, ForwardData, ForwardEnd, ForwardHead, ForwardRefused, LinkError,
    MAX_DATA_CHUNK_BYTES, drain_state::DrainState, send_queue::SendQueue,
};

/// Flow control and cancellation of one response.
pub(crate) struct StreamControl {
    pub(crate) credit: Arc<Semaphore>,
    pub(crate) cancelled: CancellationToken,
}

/// Responses in progress on a link, by the sequence number of their call.
pub(crate) type Streams = Arc<Mutex<Map<u64, StreamControl>>>;

/// Sends the response to a forwarded request to the instance that forwarded it.
///
/// Dropping the sink before `end` or `refuse` sends a refusal whose execution is `Unknown`.
pub struct ForwardSink {
    pub(crate) send_queue: SendQueue,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) credit: Arc<Semaphore>,
    pub(crate) cancelled: CancellationToken,
    pub(crate) streams: Streams,
    pub(crate) drain: Arc<DrainState>,
    pub(crate) finished: bool,
}

impl ForwardSink {
    /// Returns a token that is cancelled when the peer cancels the request or its link ends.
    pub fn cancelled(&self) -> CancellationToken {
        self.cancelled.clone()
    }

    /// Sends the status and headers.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if the peer cancelled the request or its link ended.
    pub async fn head(&mut self, head: ForwardHead) -> Result<(), LinkError> {
        self.send(Body::ForwardHead(head)).await
    }

    /// Sends a part of the body; waits for flow-control credit of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if the peer cancelled the request or its link ended.
    pub async fn data(&mut self, mut data: Bytes) -> Result<(), LinkError> {
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(MAX_DATA_CHUNK_BYTES));
            self.take_credit(chunk.len()).await?;
            self.send(Body::ForwardData(ForwardData { data: chunk }))
                .await?;
        }
        Ok(())
    }

    /// Ends a complete response.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if the peer cancelled the request or its link ended.
    pub async fn end(mut self, end: ForwardEnd) -> Result<(), LinkError> {
        self.send(Body::ForwardEnd(end)).await?;
        self.finished = true;
        Ok(())
    }

    /// Refuses the request or reports its failure.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if the peer cancelled the request or its link ended.
    pub async fn refuse(mut self, refused: ForwardRefused) -> Result<(), LinkError> {
        self.send(Body::ForwardRefused(refused)).await?;
        self.finished = true;
        Ok(())
    }

    async fn take_credit(&self, len: usize) -> Result<(), LinkError> {
        let permits = u32::try_from(len).unwrap_or(u32::MAX);
        let acquired = self
            .cancelled
            .run_until_cancelled(self.credit.acquire_many(permits))
            .await;
        match acquired {
            Some(Ok(permit)) => {
                permit.forget();
                Ok(())
            }
            _ => Err(LinkError::Cancelled),
        }
    }

    async fn send(&self, body: Body) -> Result<(), LinkError> {
        let envelope = self.envelope(body);
        let sent = self
            .cancelled
            .run_until_cancelled(self.send_queue.send(envelope, None))
            .await;
        if sent == Some(true) {
            return Ok(());
        }
        Err(LinkError::Cancelled)
    }

    const fn envelope(&self, body: Body) -> Envelope {
        Envelope::of_call(self.incarnation, self.sequence, body)
    }
}

impl Drop for ForwardSink {
    fn drop(&mut self) {
        self.streams.lock().remove(&self.sequence);
        if self.finished || self.cancelled.is_cancelled() {
            return;
        }
        // The refusal below is not sent if the runtime is shutting down.
        self.drain.record_abandoned();
        let refused = ForwardRefused::new(
            "forward-failed",
            "the instance ended the forwarded request without a complete response",
            Execution::Unknown,
        );
        self.send_queue
            .send_detached(self.envelope(Body::ForwardRefused(refused)));
    }
}
