//! Local copy of the operators' configuration and evacuations.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{DomainName, MonotonicTime};

use crate::Configuration;

/// Local copy of the operators' orders: the configuration in force and the evacuated failure
/// domains.
///
/// Updates are monotonic: a configuration is replaced only by a higher version, and evacuations are
/// never replaced by those of an earlier revision.
#[derive(Clone, Default)]
pub struct OperatorView {
    configuration: Option<Arc<Configuration>>,
    /// Store revision of the evacuations.
    revision: u64,
    evacuated: Vec<DomainName>,
    /// Time at which the orders were last known to be current.
    read_at: Option<MonotonicTime>,
}

impl OperatorView {
    /// Returns the configuration in force, or `None` before the first one.
    pub const fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the version of the configuration in force, or zero before the first one.
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the store revision up to which all orders are applied.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the evacuated failure domains, whose backend servers get no requests.
    pub fn evacuated(&self) -> &[DomainName] {
        &self.evacuated
    }

    /// Returns the time since the orders were last known to be current, or `None` before the first
    /// read.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Puts a configuration in force if its version is higher than the current one, and returns
    /// whether it did.
    pub fn install(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.version() && self.configuration.is_some() {
            return false;
        }
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Replaces the evacuated failure domains by those at `revision`, and returns whether they
    /// changed. An older revision than the current one is ignored.
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

    /// Records that the orders up to `revision` were current at `read_at`.
    pub fn confirm(&mut self, revision: u64, read_at: MonotonicTime) {
        if revision >= self.revision {
            self.read_at = self.read_at.max(Some(read_at));
        }
    }
}
