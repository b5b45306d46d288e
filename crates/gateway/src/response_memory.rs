//! Bound on the memory for responses that are not complete yet.

use tokio::sync::{Semaphore, SemaphorePermit};

/// Bound on the buffered bytes of all responses together, apart from the free bytes of each.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Bytes of each response that are not charged, so that usual responses are read even while servers
/// that send without end have used up the budget.
const FREE_BYTES: usize = 32 << 10;

static BUDGET: Semaphore = Semaphore::const_new(MAX_BUFFERED_BYTES);

/// Part of the budget that one response holds.
#[derive(Debug, Default)]
pub(crate) struct ResponseMemory {
    permit: Option<SemaphorePermit<'static>>,
}

impl ResponseMemory {
    /// Adapts the part of the budget to `bytes` buffered bytes; returns whether the budget allows
    /// them.
    pub(crate) fn try_hold(&mut self, bytes: usize) -> bool {
        let charged = bytes.saturating_sub(FREE_BYTES);
        let held = self.permit.as_ref().map_or(0, SemaphorePermit::num_permits);
        if charged <= held {
            if charged == 0 {
                self.permit = None;
            }
            return true;
        }
        let Ok(missing) = u32::try_from(charged - held) else {
            return false;
        };
        let Ok(permit) = BUDGET.try_acquire_many(missing) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }
}
