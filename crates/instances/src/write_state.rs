//! Write state of a queued message.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use hawthornquay_decisions::Execution;

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// State of a message in a send queue: queued, written or cancelled.
///
/// Writing and cancelling exclude each other: whichever comes first wins. A failed call reports
/// `NotRun` only after cancelling the write, so that the writer cannot send the message afterwards.
#[derive(Clone, Default)]
pub(crate) struct WriteState(Arc<AtomicU8>);

impl WriteState {
    /// Marks the message as written; returns false if the write has been cancelled.
    pub(crate) fn start_write(&self) -> bool {
        self.transition(WRITTEN) == Ok(QUEUED)
    }

    /// Cancels the write if the message is still queued; returns what is known about its execution.
    pub(crate) fn cancel(&self) -> Execution {
        match self.transition(CANCELLED) {
            Ok(_) | Err(CANCELLED) => Execution::NotRun,
            Err(_) => Execution::Unknown,
        }
    }

    fn transition(&self, next: u8) -> Result<u8, u8> {
        self.0
            .compare_exchange(QUEUED, next, Ordering::AcqRel, Ordering::Acquire)
    }
}
