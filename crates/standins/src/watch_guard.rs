//! Guard that counts a waiting watch.

use std::sync::Arc;

use crate::platform_core::PlatformCore;

/// Guard that counts as a waiting watch until it is dropped, including when the client disconnects.
#[derive(Debug)]
pub(crate) struct WatchGuard(Arc<PlatformCore>);

impl WatchGuard {
    pub(crate) fn begin(core: &Arc<PlatformCore>) -> Self {
        core.with_state(|state, _| {
            state.counters.watches += 1;
            state.counters.waiting_watches += 1;
        });
        Self(Arc::clone(core))
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0
            .with_state(|state, _| state.counters.waiting_watches -= 1);
    }
}
