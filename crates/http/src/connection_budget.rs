//! Division of the file descriptors of a process among its servers.

use rustix::process::{Resource, getrlimit};

/// Descriptors for files, the store, links to other instances and listeners: 200 for files, and two
/// for each of up to 64 instances.
const RESERVED_DESCRIPTORS: usize = 328;

/// Part of the descriptors that is reserved on a machine with few of them.
const MAX_RESERVED_PART: usize = 4;

/// Part of the remaining descriptors for each server that is not for callers, and bounds on it.
const STATUS_PART: usize = 12;
const MIN_STATUS_CONNECTIONS: usize = 8;
const MAX_STATUS_CONNECTIONS: usize = 256;

/// Servers that are not for callers: the readiness check, the directory, and metrics or operators.
const STATUS_SERVERS: usize = 3;

/// Descriptors if the process has no limit.
const UNLIMITED_DESCRIPTORS: usize = 1 << 16;

/// Largest numbers of connections of clients, derived from the file descriptors of the process.
///
/// The connections to backend servers get three eighths of what is not reserved. A request uses one
/// of them only while it runs, and most connections of callers are idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    callers: usize,
    status: usize,
}

impl ConnectionBudget {
    /// Builds the budget of a machine with `descriptors`; `None` means the open-file limit of the
    /// process, which always applies.
    #[must_use]
    pub fn for_machine(descriptors: Option<u64>) -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        let to_count = |count| usize::try_from(count).unwrap_or(usize::MAX);
        let limit = limit.map_or(UNLIMITED_DESCRIPTORS, to_count);
        Self::from_descriptors(descriptors.map_or(limit, |stated| limit.min(to_count(stated))))
    }

    /// Builds the budget of a process that may open `descriptors`.
    #[must_use]
    pub fn from_descriptors(descriptors: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / MAX_RESERVED_PART);
        let usable = descriptors - reserved;
        let status = (usable / STATUS_PART).clamp(MIN_STATUS_CONNECTIONS, MAX_STATUS_CONNECTIONS);
        let rest = usable.saturating_sub(STATUS_SERVERS * status);
        Self {
            callers: (rest / 8 * 5).max(MIN_STATUS_CONNECTIONS),
            status,
        }
    }

    /// Returns the largest number of connections of callers.
    #[must_use]
    pub const fn callers(self) -> usize {
        self.callers
    }

    /// Returns the largest number of connections of each other server.
    #[must_use]
    pub const fn status(self) -> usize {
        self.status
    }
}
