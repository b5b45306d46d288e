//! Bound on the memory that the clients of a process take up.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Share of the memory of a machine that is charged for clients, in eighths. The rest is for the
/// program itself, the allocator's losses, bytes being copied, and the buffers of sockets.
const MACHINE_EIGHTHS: usize = 3;

/// Smallest budget: the largest body and the largest response of the documented limits fit into it.
const MIN_BUDGET_BYTES: usize = 16 << 20;

/// Largest charge that may use the whole budget. Larger ones leave an eighth of it, so that small
/// requests are served beside bodies that fill the rest.
const MAX_SMALL_CHARGE: usize = 64 << 10;

/// Bytes that the clients of a process may take up, shared by all its servers.
///
/// A clone refers to the same budget. Charging costs one atomic operation.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    limit: usize,
    used: AtomicUsize,
}

impl MemoryBudget {
    /// Builds a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Inner {
            limit,
            used: AtomicUsize::new(0),
        }))
    }

    /// Builds the budget of a process on a machine with `memory_mb` MB.
    #[must_use]
    pub fn for_machine(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb)
            .unwrap_or(usize::MAX)
            .saturating_mul(1 << 20);
        Self::new((memory / 8 * MACHINE_EIGHTHS).max(MIN_BUDGET_BYTES))
    }

    /// Returns the size of the budget in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the charged bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns the bytes in use beyond three quarters of the budget, from which on connections are
    /// ended; zero in calm conditions.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.used().saturating_sub(self.pressure_start())
    }

    /// Charges `bytes` if the budget allows them.
    #[must_use]
    pub fn try_charge(&self, bytes: usize) -> Option<MemoryCharge> {
        self.try_add(bytes).then(|| MemoryCharge {
            budget: self.clone(),
            bytes,
        })
    }

    /// Charges `bytes` if no connection needs to be ended for them.
    #[must_use]
    pub fn try_charge_calmly(&self, bytes: usize) -> Option<MemoryCharge> {
        self.try_add_below(bytes, self.pressure_start())
            .then(|| MemoryCharge {
                budget: self.clone(),
                bytes,
            })
    }

    /// Charges `bytes` in any case, for memory that is held already or must be granted.
    #[must_use]
    pub fn charge(&self, bytes: usize) -> MemoryCharge {
        self.0.used.fetch_add(bytes, Ordering::Relaxed);
        MemoryCharge {
            budget: self.clone(),
            bytes,
        }
    }

    fn try_add(&self, bytes: usize) -> bool {
        let limit = if bytes > MAX_SMALL_CHARGE {
            self.0.limit - self.0.limit / 8
        } else {
            self.0.limit
        };
        self.try_add_below(bytes, limit)
    }

    fn pressure_start(&self) -> usize {
        self.0.limit / 4 * 3
    }

    fn try_add_below(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        self.0.used.fetch_update(set, fetch, add).is_ok()
    }
}

/// Bytes that are charged to a [`MemoryBudget`] until the charge is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryCharge {
    /// Returns the charged bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adapts the charge to `bytes`; returns whether the budget allows them. The charge stays
    /// unchanged if not.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.budget.try_add(bytes - self.bytes) {
            return false;
        }
        self.release_above(bytes);
        self.bytes = bytes;
        true
    }

    /// Adapts the charge to `bytes` in any case.
    pub fn resize(&mut self, bytes: usize) {
        let added = bytes.saturating_sub(self.bytes);
        self.budget.0.used.fetch_add(added, Ordering::Relaxed);
        self.release_above(bytes);
        self.bytes = bytes;
    }

    /// Returns `data` as bytes that keep the charge until the last slice of them is dropped.
    pub fn hold_with<T: AsRef<[u8]> + Send + 'static>(self, data: T) -> Bytes {
        Bytes::from_owner(ChargedData {
            data,
            _charge: self,
        })
    }

    fn release_above(&self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.budget.0.used.fetch_sub(released, Ordering::Relaxed);
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.release_above(0);
    }
}

/// Data together with the charge for it. The data is dropped first.
struct ChargedData<T> {
    data: T,
    _charge: MemoryCharge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ChargedData<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
