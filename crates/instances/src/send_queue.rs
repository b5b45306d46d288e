//! Messages that wait for the socket.

use tokio::{
    io::AsyncWrite,
    sync::mpsc::{self, Receiver, Sender},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Body, Envelope, envelope_io::EnvelopeWriter, link_settings::QUEUE_LEN, write_state::WriteTicket,
};

pub(crate) struct Outgoing {
    envelope: Envelope,
    ticket: Option<WriteTicket>,
}

/// Queues of one link; control messages overtake forwarded traffic.
#[derive(Clone)]
pub(crate) struct Outbox {
    control: Sender<Outgoing>,
    forwarded: Sender<Outgoing>,
}

pub(crate) struct OutboxReceiver {
    control: Receiver<Outgoing>,
    forwarded: Receiver<Outgoing>,
}

impl Outbox {
    pub(crate) fn new() -> (Self, OutboxReceiver) {
        let (control, control_rx) = mpsc::channel(QUEUE_LEN);
        let (forwarded, forwarded_rx) = mpsc::channel(QUEUE_LEN);
        let receiver = OutboxReceiver {
            control: control_rx,
            forwarded: forwarded_rx,
        };
        (Self { control, forwarded }, receiver)
    }

    /// Queues a message; returns whether the link still writes.
    pub(crate) async fn send(&self, envelope: Envelope, ticket: Option<WriteTicket>) -> bool {
        let queue = self.queue(&envelope).clone();
        queue.send(Outgoing { envelope, ticket }).await.is_ok()
    }

    /// Queues a message if there is room.
    pub(crate) fn try_send(&self, envelope: Envelope) {
        // Used for heartbeats, which a full queue makes superfluous.
        let _ = self.queue(&envelope).try_send(Outgoing {
            envelope,
            ticket: None,
        });
    }

    /// Queues a message from code that cannot wait.
    pub(crate) fn send_detached(&self, envelope: Envelope) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let outbox = self.clone();
        runtime.spawn(async move { outbox.send(envelope, None).await });
    }

    const fn queue(&self, envelope: &Envelope) -> &Sender<Outgoing> {
        match &envelope.body {
            // Cancellation and credit follow a request that is already written.
            Some(Body::ForwardCancel(_) | Body::ForwardCredit(_)) | None => &self.control,
            Some(body) if body.is_forwarded() => &self.forwarded,
            Some(_) => &self.control,
        }
    }
}

impl OutboxReceiver {
    /// Writes messages until all senders are gone, writing fails or `closed` is cancelled.
    pub(crate) async fn write_to<S: AsyncWrite>(
        mut self,
        mut writer: EnvelopeWriter<S>,
        closed: CancellationToken,
    ) {
        let written = closed
            .run_until_cancelled(async {
                while let Some(outgoing) = self.next().await {
                    if outgoing.ticket.is_none_or(|ticket| ticket.start_write()) {
                        writer.feed(&outgoing.envelope).await?;
                    }
                    if self.control.is_empty() && self.forwarded.is_empty() {
                        writer.flush().await?;
                    }
                }
                writer.close().await
            })
            .await;
        closed.cancel();
        if written.is_none() {
            // Tells the peer that the link ends; a peer that does not read is not waited for.
            let _ =
                tokio::time::timeout(std::time::Duration::from_millis(100), writer.close()).await;
        }
    }

    async fn next(&mut self) -> Option<Outgoing> {
        tokio::select! {
            biased;
            Some(outgoing) = self.control.recv() => Some(outgoing),
            Some(outgoing) = self.forwarded.recv() => Some(outgoing),
            else => None,
        }
    }
}
