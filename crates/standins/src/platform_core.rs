//! Platform without its HTTP interface.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep_until},
};

use crate::{PlatformFaults, PlatformSettings, platform_state::PlatformState};

/// State of the platform, with notifications of its changes.
#[derive(Debug)]
pub(crate) struct PlatformCore {
    pub(crate) settings: PlatformSettings,
    state: Mutex<PlatformState>,
    changed: watch::Sender<()>,
    lease_granted: Notify,
}

impl PlatformCore {
    pub(crate) fn new(settings: PlatformSettings) -> Self {
        let state = PlatformState::new(&settings, Instant::now());
        Self {
            settings,
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
            lease_granted: Notify::new(),
        }
    }

    /// Ends expired leases, runs `action` on the state, and notifies watches if the store or the
    /// faults changed.
    pub(crate) fn with_state<T>(&self, action: impl FnOnce(&mut PlatformState, Instant) -> T) -> T {
        let mut state = self.state.lock();
        let now = Instant::now();
        let before = (state.era, state.store.revision(), state.faults);
        state.store.expire_leases(now);
        let result = action(&mut state, now);
        if (state.era, state.store.revision(), state.faults) != before {
            self.changed.send_replace(());
        }
        result
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.with_state(|state, _| state.faults = faults);
    }

    /// Returns the store to its last copy; returns false without a copy.
    pub(crate) fn restore_store(&self) -> bool {
        let restored = self.with_state(|state, _| state.restore_store());
        // The restored leases may expire earlier than those that the expiry task waits for.
        self.lease_granted.notify_one();
        restored
    }

    /// Returns a receiver that is notified of every change to the store or the faults.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(crate) fn grant_lease(&self, ttl: Duration) -> u64 {
        let id = self.with_state(|state, now| state.store.grant_lease(now, ttl));
        self.lease_granted.notify_one();
        id
    }

    /// Ends each lease when it expires, so that watches are notified even without other calls.
    pub(crate) async fn expire_leases(self: Arc<Self>) {
        loop {
            let next = self.with_state(|state, _| state.store.next_expiry());
            let expiry = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = expiry => {}
                () = self.lease_granted.notified() => {}
            }
        }
    }
}
