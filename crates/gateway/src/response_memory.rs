//! Bound on the memory for responses until they have been passed on.

use std::sync::{Arc, LazyLock};

use bytes::{Bytes, BytesMut};
use hawthornquay_decisions::Map;
use hawthornquay_http::{MemoryBudget, MemoryCharge};
use parking_lot::Mutex;

/// Bound on the buffered bytes of all responses together, apart from the free bytes of each.
const MAX_BUFFERED_BYTES: usize = 12 << 20;

/// Largest response that is not a stream, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Bytes of each response that are not charged, so that usual responses are read even while servers
/// that send without end have used up the budget.
const FREE_BYTES: usize = 32 << 10;

/// Maximum number of bytes that the responses of one source hold for each byte that stays free.
///
/// A single source gets up to two thirds of the budget, which the largest response fits into, and
/// `n` sources that send without end leave `1 / (2 n + 1)` of it to the responses of all others.
const MAX_HELD_PER_FREE_BYTE: usize = 2;

static BUDGET: LazyLock<Mutex<Budget>> = LazyLock::new(Mutex::default);

/// Bytes that are held by source: a backend server, or an instance that forwards responses.
#[derive(Default)]
struct Budget {
    held: usize,
    by_source: Map<Arc<str>, usize>,
}

impl Budget {
    fn try_take(&mut self, source: &Arc<str>, bytes: usize) -> bool {
        let of_source = self.by_source.get(source).copied().unwrap_or_default() + bytes;
        let Some(free) = MAX_BUFFERED_BYTES.checked_sub(self.held + bytes) else {
            return false;
        };
        if of_source > free.saturating_mul(MAX_HELD_PER_FREE_BYTE) {
            return false;
        }
        self.held += bytes;
        self.by_source.insert(source.clone(), of_source);
        true
    }

    fn release(&mut self, source: &Arc<str>, bytes: usize) {
        self.held -= bytes;
        if let Some(of_source) = self.by_source.get_mut(source) {
            *of_source -= bytes;
            if *of_source == 0 {
                self.by_source.remove(source);
            }
        }
    }
}

/// Part of the budget that one response holds.
///
/// Its bytes are also charged to the memory budget of the process, which clients use, too.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    source: Arc<str>,
    held: usize,
    charge: MemoryCharge,
}

impl ResponseMemory {
    /// Creates a part of no bytes for a response of `source`.
    pub(crate) fn new(source: &str, memory: &MemoryBudget) -> Self {
        Self {
            source: source.into(),
            held: 0,
            charge: memory.charge(0),
        }
    }

    /// Adapts the part of the budget to `bytes` buffered bytes; returns whether the budget allows
    /// them.
    pub(crate) fn try_hold(&mut self, bytes: usize) -> bool {
        let charged = bytes.saturating_sub(FREE_BYTES);
        // A usual response is read in any case: its request has been run.
        if charged == 0 {
            self.charge.resize(bytes);
        } else if !self.charge.try_resize(bytes) {
            return false;
        }
        if charged > self.held {
            if !BUDGET.lock().try_take(&self.source, charged - self.held) {
                return false;
            }
        } else if charged < self.held {
            BUDGET.lock().release(&self.source, self.held - charged);
        }
        self.held = charged;
        true
    }

    /// Returns a complete body, which holds this part of the budget until its last slice is dropped:
    /// a caller may read it slowly.
    pub(crate) fn hold_with(self, data: BytesMut) -> Bytes {
        Bytes::from_owner(ChargedBody {
            data,
            _memory: self,
        })
    }
}

/// Body together with the part of the budget for its bytes.
struct ChargedBody {
    data: BytesMut,
    _memory: ResponseMemory,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.try_hold(0);
    }
}
