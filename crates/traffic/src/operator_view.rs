//! Local copy of the operators' configuration and evacuations.

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{DomainName, MonotonicTime};

use crate::{Configuration, RECOVERY_GRACE, StoreRevision};

/// Local copy of the operators' orders: the configuration in force and the evacuated failure
/// domains.
///
/// Updates are monotonic: a configuration is replaced only by a higher version, and evacuations are
/// never replaced by those of an earlier revision. A store that comes back from an older copy may
/// lack evacuations until they are written again, so these stay in effect for a grace period.
#[derive(Clone, Default)]
pub struct OperatorView {
    configuration: Option<Arc<Configuration>>,
    /// Store revision of the evacuations.
    revision: StoreRevision,
    /// Evacuated failure domains in the store.
    stored: Vec<DomainName>,
    /// Evacuated failure domains that the store has lost, in effect until `lost_until`.
    lost: Vec<DomainName>,
    lost_until: MonotonicTime,
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
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the evacuated failure domains, whose backend servers get no requests.
    pub fn evacuated(&self) -> Vec<DomainName> {
        let mut evacuated: Vec<DomainName> =
            self.stored.iter().chain(&self.lost).cloned().collect();
        evacuated.sort();
        evacuated
    }

    /// Returns the evacuated failure domains in the store, to be sent to other instances.
    pub fn stored_evacuations(&self) -> &[DomainName] {
        &self.stored
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

    /// Replaces the evacuated failure domains by those in the store at `revision`, and returns
    /// whether those in effect changed. An older revision than the current one is ignored.
    pub fn set_evacuated(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        evacuated: &[DomainName],
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let before = self.evacuated();
        if self.revision.is_replaced_by(revision) {
            self.lost.clone_from(&before);
            self.lost_until = now + RECOVERY_GRACE;
        }
        self.revision = revision;
        self.stored = evacuated.to_vec();
        self.stored.sort();
        self.stored.dedup();
        self.lost.retain(|domain| !self.stored.contains(domain));
        self.end_grace(now);
        self.evacuated() != before
    }

    /// Ends evacuations that the store has lost and that were not written again within the grace
    /// period; returns whether there were any.
    pub fn end_grace(&mut self, now: MonotonicTime) -> bool {
        let ended = now >= self.lost_until && !self.lost.is_empty();
        if ended {
            self.lost.clear();
        }
        ended
    }

    /// Records that the orders up to `revision` were current at `read_at`.
    pub fn confirm(&mut self, revision: StoreRevision, read_at: MonotonicTime) {
        if revision >= self.revision {
            self.read_at = self.read_at.max(Some(read_at));
        }
    }
}
