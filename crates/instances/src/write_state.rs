//! Record of whether a message reached the socket.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use hawthornquay_decisions::Execution;

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const CANCELLED: u8 = 2;

/// Decides once between writing a message and withdrawing it.
///
/// A failed call may say `NotRun` only after it has withdrawn its message, so that the writer
/// cannot pick the message up afterwards.
#[derive(Clone, Default)]
pub(crate) struct WriteState(Arc<AtomicU8>);

impl WriteState {
    /// Returns whether the writer may write the message.
    pub(crate) fn start_write(&self) -> bool {
        self.decide(WRITTEN) == Ok(QUEUED)
    }

    /// Withdraws the message if it is not written yet.
    pub(crate) fn cancel(&self) -> Execution {
        match self.decide(CANCELLED) {
            Ok(_) | Err(CANCELLED) => Execution::NotRun,
            Err(_) => Execution::Unknown,
        }
    }

    fn decide(&self, decision: u8) -> Result<u8, u8> {
        self.0
            .compare_exchange(QUEUED, decision, Ordering::AcqRel, Ordering::Acquire)
    }
}
