//! Store leases that make claims expire.

use std::time::Duration;

use hawthornquay_decisions::{ISSUED_KEY_LIFETIME, MonotonicTime};
use hawthornquay_store::{LeaseId, PlatformClient, PlatformError};
use tokio::sync::Mutex;

/// Time for which new claims use the same lease, counted from its grant.
const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(600);

/// Lease for new claims, shared by all claims of one sharing period.
///
/// The lease is never renewed, so the claims of a period expire together.
#[derive(Debug, Default)]
pub struct ClaimLeases {
    current: Mutex<Option<(LeaseId, MonotonicTime)>>,
}

impl ClaimLeases {
    /// Returns the lease for a claim made now, which does not expire for at least 24 h.
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
            && now.since(granted) < LEASE_SHARING_PERIOD
        {
            return Ok(lease);
        }
        let lease = platform
            .grant_lease(LEASE_SHARING_PERIOD + ISSUED_KEY_LIFETIME)
            .await?;
        *current = Some((lease, now));
        Ok(lease)
    }

    /// Removes a lease that no longer exists in the store.
    pub async fn remove(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(held, _)| held == lease) {
            *current = None;
        }
    }
}
