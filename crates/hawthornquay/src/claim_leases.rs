//! Leases that claims expire with.

use std::time::Duration;

use hawthornquay_decisions::{ISSUED_KEY_LIFETIME, MonotonicTime};
use hawthornquay_store::{LeaseId, PlatformClient, PlatformError};
use tokio::sync::Mutex;

/// Time for which new claims share a lease.
const WINDOW: Duration = Duration::from_secs(600);

/// Lease of the present window; it is never renewed, so the claims of a window expire together.
#[derive(Debug, Default)]
pub struct ClaimLeases {
    current: Mutex<Option<(LeaseId, MonotonicTime)>>,
}

impl ClaimLeases {
    /// Returns the lease for a claim made now, which then lives for at least 24 h.
    ///
    /// # Errors
    ///
    /// Returns an error if the store grants no lease.
    pub async fn current(
        &self,
        platform: &PlatformClient,
        now: MonotonicTime,
    ) -> Result<LeaseId, PlatformError> {
        let mut current = self.current.lock().await;
        if let Some((lease, granted)) = *current
            && now.since(granted) < WINDOW
        {
            return Ok(lease);
        }
        let lease = platform.grant_lease(WINDOW + ISSUED_KEY_LIFETIME).await?;
        *current = Some((lease, now));
        Ok(lease)
    }

    /// Forgets a lease that the store no longer knows.
    pub async fn forget(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(held, _)| held == lease) {
            *current = None;
        }
    }
}
