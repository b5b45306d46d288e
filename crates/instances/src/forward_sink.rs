//! Answer to a forwarded request, on the side that runs it.

use std::sync::Arc;

use bytes::Bytes;
use hawthornquay_decisions::{Execution, Map};
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::{
    Body, Envelope, ForwardData, ForwardEnd, ForwardHead, ForwardRefused, LinkError,
    MAX_DATA_CHUNK_BYTES, send_queue::SendQueue,
};

pub(crate) struct StreamControl {
    pub(crate) credit: Arc<Semaphore>,
    pub(crate) cancelled: CancellationToken,
}

pub(crate) type Streams = Arc<Mutex<Map<u64, StreamControl>>>;

/// Writes the answer to a forwarded request.
///
/// Dropping it before `end` or `refuse` tells the peer that the outcome is unknown.
pub struct ForwardSink {
    pub(crate) send_queue: SendQueue,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) credit: Arc<Semaphore>,
    pub(crate) cancelled: CancellationToken,
    pub(crate) streams: Streams,
    pub(crate) finished: bool,
}

impl ForwardSink {
    /// Returns a token that is cancelled when the peer gives the request up or its link ends.
    pub fn cancelled(&self) -> CancellationToken {
        self.cancelled.clone()
    }

    /// Sends the start of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if nobody waits for the answer.
    pub async fn head(&mut self, head: ForwardHead) -> Result<(), LinkError> {
        self.send(Body::ForwardHead(head)).await
    }

    /// Sends a piece of the body, waiting until the peer has room for it.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if nobody waits for the answer.
    pub async fn data(&mut self, mut data: Bytes) -> Result<(), LinkError> {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_DATA_CHUNK_BYTES));
            self.take_credit(piece.len()).await?;
            self.send(Body::ForwardData(ForwardData { data: piece }))
                .await?;
        }
        Ok(())
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if nobody waits for the answer.
    pub async fn end(mut self, end: ForwardEnd) -> Result<(), LinkError> {
        self.finished = true;
        self.send(Body::ForwardEnd(end)).await
    }

    /// Refuses the request or reports its failure.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Cancelled`] if nobody waits for the answer.
    pub async fn refuse(mut self, refused: ForwardRefused) -> Result<(), LinkError> {
        self.finished = true;
        self.send(Body::ForwardRefused(refused)).await
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
        let refused = ForwardRefused::new(
            "forward-failed",
            "the instance stopped answering the forwarded request",
            Execution::Unknown,
        );
        self.send_queue
            .send_detached(self.envelope(Body::ForwardRefused(refused)));
    }
}
