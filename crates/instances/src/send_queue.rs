//! Send queues of a link.

use tokio::{
    io::AsyncWrite,
    sync::mpsc::{self, Receiver, Sender},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Body, Envelope,
    envelope_io::EnvelopeWriter,
    link_settings::{MAX_QUEUED_BODY_CHUNKS, MAX_QUEUED_MESSAGES},
    write_state::WriteState,
};

/// Message that waits to be written; its write can be cancelled through `write_state`.
pub(crate) struct QueuedMessage {
    envelope: Envelope,
    write_state: Option<WriteState>,
}

/// Sending ends of the queues of a link. Control messages have priority over forwarded traffic, and
/// that over the parts of request bodies, so that a large body does not delay other requests.
#[derive(Clone)]
pub(crate) struct SendQueue {
    control: Sender<QueuedMessage>,
    forwarded: Sender<QueuedMessage>,
    bodies: Sender<QueuedMessage>,
}

/// Receiving ends of the queues of a link.
pub(crate) struct SendQueueReceiver {
    control: Receiver<QueuedMessage>,
    forwarded: Receiver<QueuedMessage>,
    bodies: Receiver<QueuedMessage>,
}

impl SendQueue {
    pub(crate) fn new() -> (Self, SendQueueReceiver) {
        let (control, control_rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (forwarded, forwarded_rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (bodies, bodies_rx) = mpsc::channel(MAX_QUEUED_BODY_CHUNKS);
        let receiver = SendQueueReceiver {
            control: control_rx,
            forwarded: forwarded_rx,
            bodies: bodies_rx,
        };
        let queue = Self {
            control,
            forwarded,
            bodies,
        };
        (queue, receiver)
    }

    /// Queues a message, waiting while the queue is full; returns false if the link has ended.
    pub(crate) async fn send(&self, envelope: Envelope, write_state: Option<WriteState>) -> bool {
        let queue = self.queue(&envelope).clone();
        queue
            .send(QueuedMessage {
                envelope,
                write_state,
            })
            .await
            .is_ok()
    }

    /// Queues a message, or drops it if the queue is full.
    pub(crate) fn try_send(&self, envelope: Envelope) {
        // Used for heartbeats: with a full queue, the queued messages serve as heartbeats.
        let _ = self.queue(&envelope).try_send(QueuedMessage {
            envelope,
            write_state: None,
        });
    }

    /// Queues a message from a task of its own, for code that is not async.
    pub(crate) fn send_detached(&self, envelope: Envelope) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let send_queue = self.clone();
        runtime.spawn(async move { send_queue.send(envelope, None).await });
    }

    const fn queue(&self, envelope: &Envelope) -> &Sender<QueuedMessage> {
        match &envelope.body {
            // These may overtake forwarded traffic: their request has already been written.
            Some(Body::ForwardCancel(_) | Body::ForwardCredit(_)) | None => &self.control,
            Some(Body::ForwardBody(_)) => &self.bodies,
            Some(body) if body.is_forwarded() => &self.forwarded,
            Some(_) => &self.control,
        }
    }
}

impl SendQueueReceiver {
    /// Writes messages until all senders are dropped, a write fails or `closed` is cancelled. If
    /// all senders are dropped, the message that `last` returns is written behind the others.
    pub(crate) async fn write_to<S: AsyncWrite>(
        mut self,
        mut writer: EnvelopeWriter<S>,
        closed: CancellationToken,
        last: impl FnOnce() -> Option<Envelope>,
    ) {
        let written = closed
            .run_until_cancelled(async {
                while let Some(queued) = self.next().await {
                    if queued
                        .write_state
                        .is_none_or(|write_state| write_state.start_write())
                    {
                        writer.feed(&queued.envelope).await?;
                    }
                    if self.control.is_empty()
                        && self.forwarded.is_empty()
                        && self.bodies.is_empty()
                    {
                        writer.flush().await?;
                    }
                }
                if let Some(envelope) = last() {
                    writer.feed(&envelope).await?;
                }
                writer.close().await
            })
            .await;
        closed.cancel();
        if written.is_none() {
            // Shuts the connection down, so that the peer detects the end of the link. The time-out
            // covers a peer that does not read.
            let _ =
                tokio::time::timeout(std::time::Duration::from_millis(100), writer.close()).await;
        }
    }

    async fn next(&mut self) -> Option<QueuedMessage> {
        tokio::select! {
            biased;
            Some(queued) = self.control.recv() => Some(queued),
            Some(queued) = self.forwarded.recv() => Some(queued),
            Some(queued) = self.bodies.recv() => Some(queued),
            else => None,
        }
    }
}
