//! Pool of outgoing links.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornquay_decisions::{InstanceName, Map};
use parking_lot::Mutex;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::{
    Forward, ForwardStream, LinkError, LocalInstance, MAX_FORWARDED_BODY_BYTES, Notice,
    PeerAddress, UnaryRequest,
    link::{Link, check_frame_size},
};

/// Maximum number of attempts to send a call.
///
/// A call is sent again, on another link, only if its link ended before the call was written.
const MAX_SEND_ATTEMPTS: usize = 2;

/// Slot of the link for notices and calls.
///
/// Forwarded requests use other links: heartbeats wait behind a large notice, such as a
/// configuration, and on a slow path its link may reach the receive time-out.
const CONTROL_SLOT: usize = 0;

/// Place for one link; locked while the link is being opened.
type LinkSlot = Arc<tokio::sync::Mutex<Option<Arc<Link>>>>;

/// Calls other instances over links, which it opens on demand and replaces when they end.
pub struct LinkPool {
    local: LocalInstance,
    sequence: AtomicU64,
    /// Link slots by peer: [`CONTROL_SLOT`], and those for forwarded requests.
    slots: Mutex<Map<InstanceName, Vec<LinkSlot>>>,
    closed: CancellationToken,
}

impl LinkPool {
    /// Creates a pool without links.
    pub fn new(local: LocalInstance) -> Self {
        Self {
            local,
            sequence: AtomicU64::new(0),
            slots: Mutex::default(),
            closed: CancellationToken::new(),
        }
    }

    /// Sends a request and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`], whose `execution` says whether the peer may have run the request.
    pub async fn call<R: UnaryRequest>(
        &self,
        peer: &PeerAddress,
        request: R,
        timeout: Duration,
    ) -> Result<R::Reply, LinkError> {
        let deadline = Instant::now() + timeout;
        let body = check_frame_size(request.into())?;
        for attempt in 1.. {
            let link = self
                .link(peer, &self.slot(peer, CONTROL_SLOT), deadline)
                .await?;
            let outcome = link
                .call(self.next_sequence(), body.clone(), deadline)
                .await;
            if attempt < MAX_SEND_ATTEMPTS && was_never_written(&outcome) {
                continue;
            }
            return R::Reply::try_from(outcome?).map_err(|_| LinkError::Protocol {
                name: peer.name.clone(),
                reason: "the reply has the wrong message type",
            });
        }
        unreachable!("the last attempt always returns")
    }

    /// Queues a one-way message.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`] if no link can be opened, the link has ended, the message exceeds
    /// the frame limit, or its queue stays full until the connect time-out.
    pub async fn send(&self, peer: &PeerAddress, notice: Notice) -> Result<(), LinkError> {
        let deadline = Instant::now() + self.local.settings.connect_timeout;
        let body = check_frame_size(notice.into())?;
        let link = self
            .link(peer, &self.slot(peer, CONTROL_SLOT), deadline)
            .await?;
        match timeout_at(deadline, link.send(body)).await {
            Ok(sent) => sent,
            Err(_) => Err(deadline_exceeded(peer)),
        }
    }

    /// Forwards a request; `timeout` limits the time until it is queued on a link.
    ///
    /// # Errors
    ///
    /// Returns a [`LinkError`], whose `execution` says whether the peer may have run the request.
    pub async fn forward(
        &self,
        peer: &PeerAddress,
        request: Forward,
        timeout: Duration,
    ) -> Result<ForwardStream, LinkError> {
        let deadline = Instant::now() + timeout;
        let len = request.body.len();
        if len > MAX_FORWARDED_BODY_BYTES {
            let limit = MAX_FORWARDED_BODY_BYTES;
            return Err(LinkError::TooLarge { len, limit });
        }
        for attempt in 1.. {
            let slot = self.least_loaded_slot(peer);
            let link = self.link(peer, &slot, deadline).await?;
            let outcome = link
                .forward(self.next_sequence(), request.clone(), deadline)
                .await;
            if attempt == MAX_SEND_ATTEMPTS || !was_never_written(&outcome) {
                return outcome;
            }
        }
        unreachable!("the last attempt always returns")
    }

    /// Closes all links; new ones can no longer be opened.
    pub fn close(&self) {
        self.closed.cancel();
    }

    fn next_sequence(&self) -> u64 {
        // Sequence number zero is reserved for one-way messages.
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn slot(&self, peer: &PeerAddress, index: usize) -> LinkSlot {
        let mut slots = self.slots.lock();
        let peer_slots = slots.entry(peer.name.clone()).or_default();
        while peer_slots.len() <= index {
            peer_slots.push(LinkSlot::default());
        }
        peer_slots[index].clone()
    }

    /// Returns the slot for forwarded requests whose link has the fewest calls in flight.
    ///
    /// If no open link is idle, it opens a further one in the background, so that no request has to
    /// wait for a handshake.
    fn least_loaded_slot(&self, peer: &PeerAddress) -> LinkSlot {
        let mut best: Option<(usize, LinkSlot)> = None;
        let mut unopened = None;
        for index in 0..self.local.settings.forwarding_links.max(1) {
            let slot = self.slot(peer, CONTROL_SLOT + 1 + index);
            let calls = slot.try_lock().ok().and_then(|current| {
                let link = current.as_ref().filter(|link| link.is_usable_for(peer))?;
                Some(link.open_calls())
            });
            match calls {
                Some(calls) if best.as_ref().is_none_or(|(least, _)| calls < *least) => {
                    best = Some((calls, slot));
                }
                Some(_) => {}
                None => unopened = unopened.or(Some(slot)),
            }
        }
        let Some((calls, slot)) = best else {
            return self.slot(peer, CONTROL_SLOT + 1);
        };
        if let Some(unopened) = unopened.filter(|_| calls > 0) {
            self.open_in_background(peer, unopened);
        }
        slot
    }

    fn open_in_background(&self, peer: &PeerAddress, slot: LinkSlot) {
        let (local, closed, peer) = (self.local.clone(), self.closed.clone(), peer.clone());
        tokio::spawn(async move {
            // If the slot is locked, another task is opening its link.
            let Ok(mut current) = slot.try_lock() else {
                return;
            };
            // An error is ignored: the other links still work, and the next request tries again.
            if let Ok(link) = open(&local, &closed, &peer).await
                && link.matches_peer(&peer)
            {
                *current = Some(link);
            }
        });
    }

    /// Returns the usable link in `slot`, or opens a new one.
    async fn link(
        &self,
        peer: &PeerAddress,
        slot: &LinkSlot,
        deadline: Instant,
    ) -> Result<Arc<Link>, LinkError> {
        let opened = timeout_at(deadline, async {
            // One task opens the link, and the others wait for it.
            let mut current = slot.lock().await;
            if let Some(link) = current.as_ref().filter(|link| link.is_usable_for(peer)) {
                return Ok(link.clone());
            }
            let link = open(&self.local, &self.closed, peer).await?;
            if link.peer.name == peer.name {
                *current = Some(link.clone());
            }
            Ok(link)
        });
        let link = opened
            .await
            .unwrap_or_else(|_| Err(deadline_exceeded(peer)))?;
        if link.matches_peer(peer) {
            return Ok(link);
        }
        if link.peer.name != peer.name {
            link.closed.cancel();
        }
        Err(LinkError::WrongPeer {
            expected: match peer.incarnation {
                Some(incarnation) => format!("{}#{incarnation}", peer.name),
                None => peer.name.to_string(),
            },
            address: peer.address,
            found: link.peer.clone(),
        })
    }
}

impl Drop for LinkPool {
    fn drop(&mut self) {
        self.close();
    }
}

async fn open(
    local: &LocalInstance,
    closed: &CancellationToken,
    peer: &PeerAddress,
) -> Result<Arc<Link>, LinkError> {
    let closed = closed.child_token();
    if closed.is_cancelled() {
        let source = io::Error::other("the pool is closed");
        return Err(LinkError::connect(peer, source));
    }
    let opening = Link::open(local, peer, closed);
    timeout(local.settings.connect_timeout, opening)
        .await
        .unwrap_or_else(|_| Err(LinkError::connect(peer, io::ErrorKind::TimedOut.into())))
}

fn was_never_written<T>(outcome: &Result<T, LinkError>) -> bool {
    matches!(
        outcome,
        Err(LinkError::LinkEnded {
            execution: hawthornquay_decisions::Execution::NotRun,
            ..
        })
    )
}

fn deadline_exceeded(peer: &PeerAddress) -> LinkError {
    LinkError::DeadlineExceeded {
        name: peer.name.clone(),
        execution: hawthornquay_decisions::Execution::NotRun,
    }
}
