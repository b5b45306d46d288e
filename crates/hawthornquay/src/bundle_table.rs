//! Bundle in force on this instance.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use hawthornquay_decisions::{Refusal, RefusalCode};

use crate::ActiveBundle;

/// Bundle in force, if any; readers take no lock.
#[derive(Default)]
pub struct BundleTable {
    active: ArcSwapOption<ActiveBundle>,
}

impl BundleTable {
    /// Returns the bundle in force; `None` until the first one is installed.
    pub fn active(&self) -> Option<Arc<ActiveBundle>> {
        self.active.load_full()
    }

    /// Returns the bundle in force, which a request needs.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no bundle has been installed yet.
    pub fn required(&self) -> Result<Arc<ActiveBundle>, Refusal> {
        self.active().ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::NotReady,
                "this instance has no configuration yet; use another instance",
            )
        })
    }

    /// Returns the version of the bundle in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.active
            .load()
            .as_ref()
            .map_or(0, |active| active.version())
    }

    /// Puts `next` in force, unless the current bundle has the same or a higher version.
    ///
    /// Returns whether `next` was put in force.
    pub fn install(&self, next: &Arc<ActiveBundle>) -> bool {
        let previous = self.active.rcu(|current| match current {
            Some(current) if current.version() >= next.version() => Some(Arc::clone(current)),
            _ => Some(Arc::clone(next)),
        });
        previous.is_none_or(|previous| previous.version() < next.version())
    }
}
