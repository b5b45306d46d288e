//! Bundle in force at this instance.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hawthornquay_decisions::{Refusal, RefusalCode};

use crate::ActiveBundle;

/// Holds the bundle in force; readers never wait.
#[derive(Default)]
pub struct BundleTable {
    active: ArcSwapOption<ActiveBundle>,
}

impl BundleTable {
    /// Returns the bundle in force.
    pub fn active(&self) -> Option<Arc<ActiveBundle>> {
        self.active.load_full()
    }

    /// Returns the bundle in force for a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the instance has none yet.
    pub fn required(&self) -> Result<Arc<ActiveBundle>, Refusal> {
        self.active().ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::NotReady,
                "this instance has no configuration yet; use another instance",
            )
        })
    }

    /// Returns the version in force, or zero.
    pub fn version(&self) -> u64 {
        self.active
            .load()
            .as_ref()
            .map_or(0, |active| active.version())
    }

    /// Puts `next` in force unless a bundle of the same or a higher version is.
    ///
    /// Returns whether it is in force now.
    pub fn install(&self, next: &Arc<ActiveBundle>) -> bool {
        let previous = self.active.rcu(|current| match current {
            Some(current) if current.version() >= next.version() => Some(Arc::clone(current)),
            _ => Some(Arc::clone(next)),
        });
        previous.is_none_or(|previous| previous.version() < next.version())
    }
}
