//! Forwarded request whose body is still arriving.

use std::sync::Arc;

use bytes::BytesMut;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::{Forward, ForwardBody, MAX_FORWARDED_BODY_BYTES};

/// Forwarded request whose body is still arriving in several frames.
pub(crate) struct PartialForward {
    request: Forward,
    len: usize,
    body: BytesMut,
    /// Number and memory of concurrent calls.
    pub(crate) permits: Vec<OwnedSemaphorePermit>,
    /// Keeps a link that drains open until the request has run.
    pub(crate) token: TaskTrackerToken,
}

impl PartialForward {
    /// Reserves memory for the body; returns `None` if there is not enough.
    pub(crate) fn new(
        request: Forward,
        memory: &Arc<Semaphore>,
        call: OwnedSemaphorePermit,
        token: TaskTrackerToken,
    ) -> Option<Self> {
        let len = usize::try_from(request.body_bytes).ok()?;
        if len > MAX_FORWARDED_BODY_BYTES {
            return None;
        }
        let bytes = u32::try_from(len).ok()?;
        let memory = memory.clone().try_acquire_many_owned(bytes).ok()?;
        Some(Self {
            request,
            len,
            body: BytesMut::with_capacity(len),
            permits: vec![call, memory],
            token,
        })
    }

    /// Appends a part of the body; returns false if the body is longer than declared.
    pub(crate) fn push(&mut self, part: &ForwardBody) -> bool {
        if part.data.len() > self.len - self.body.len() {
            return false;
        }
        self.body.extend_from_slice(&part.data);
        true
    }

    /// Returns whether the whole body has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.len() == self.len
    }

    /// Returns the request with its body, and what it holds while it runs.
    pub(crate) fn into_request(self) -> (Forward, Vec<OwnedSemaphorePermit>, TaskTrackerToken) {
        let mut request = self.request;
        request.body = self.body.freeze();
        request.body_bytes = 0;
        (request, self.permits, self.token)
    }
}
