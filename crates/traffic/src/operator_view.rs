//! What the operators ordered.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{DomainName, MonotonicTime};

use crate::Configuration;

/// Orders of the operators, as far as this instance knows them.
///
/// Nothing here goes back: a configuration replaces only a lower version, and evacuations only
/// those of an earlier revision.
#[derive(Clone, Default)]
pub struct OperatorView {
    configuration: Option<Arc<Configuration>>,
    revision: u64,
    evacuated: Vec<DomainName>,
    read_at: Option<MonotonicTime>,
}

impl OperatorView {
    /// Returns the configuration in force.
    pub const fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the version of the configuration in force; zero if there is none.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the store's revision up to which the orders are known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the failure domains whose backend servers get nothing.
    pub fn evacuated(&self) -> &[DomainName] {
        &self.evacuated
    }

    /// Returns the time since the orders were known to be current, or `None` before that.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Puts a configuration in force if its version is higher; returns whether it was.
    pub fn install(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.version() && self.configuration.is_some() {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Replaces the evacuations by those at `revision`; returns whether they changed.
    pub fn set_evacuated(&mut self, revision: u64, mut evacuated: Vec<DomainName>) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        evacuated.sort();
        evacuated.dedup();
        let changed = evacuated != self.evacuated;
        self.evacuated = evacuated;
        changed
    }

    /// Notes that the orders up to `revision` were current at `read_at`.
    pub fn confirm(&mut self, revision: u64, read_at: MonotonicTime) {
        if revision >= self.revision {
            self.read_at = self.read_at.max(Some(read_at));
        }
    }
}
