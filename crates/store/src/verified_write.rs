//! Compare-and-swap that resolves unknown outcomes.

use crate::{Entry, LeaseId, PlatformClient, PlatformError, StoreRevision, UnknownOutcomeCause};

/// Maximum number of writes sent before the outcome is reported as unknown.
const MAX_WRITES: usize = 3;

impl PlatformClient {
    /// Writes a key like `compare_and_swap`; resolves an unknown outcome by reading the key back.
    ///
    /// `value` has to be unique among all writes to the key, for example by containing a random
    /// nonce: if the key holds exactly `value`, this write is assumed to have taken effect. If the
    /// key is still at `expect`, the write is repeated. At most one of these writes can succeed,
    /// because the first success changes the revision.
    ///
    /// # Errors
    ///
    /// Returns `UnknownOutcome` if the outcome remains unknown: with the cause `DifferentValue` if
    /// the key now has a different value or is absent, with `EraChanged` if the store came back from
    /// an older copy during a call, otherwise with the cause of the last write.
    /// All other errors are those of `compare_and_swap` and mean that the write had no effect.
    pub async fn compare_and_swap_verified(
        &self,
        key: &str,
        value: &[u8],
        expect: StoreRevision,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, PlatformError> {
        let mut last_cause = match self.compare_and_swap(key, value, expect, lease).await {
            Err(PlatformError::UnknownOutcome(UnknownOutcomeCause::EraChanged)) => {
                return Err(era_changed());
            }
            Err(PlatformError::UnknownOutcome(cause)) => cause,
            known => return known,
        };
        for _ in 1..MAX_WRITES {
            let current = match self.get(key).await {
                Ok(entry) => Some(entry),
                Err(PlatformError::NotFound) => None,
                Err(_) => return Err(PlatformError::UnknownOutcome(last_cause)),
            };
            if current
                .as_ref()
                .map_or(StoreRevision::ABSENT, |entry| entry.revision)
                != expect
            {
                return resolve(value, current, lease);
            }
            // The earlier write may still be in flight and take effect first. This write then fails
            // with a conflict whose current entry holds `value`.
            match self.compare_and_swap(key, value, expect, lease).await {
                Ok(revision) => return Ok(revision),
                Err(PlatformError::Conflict { current }) => {
                    return resolve(value, current.map(|entry| *entry), lease);
                }
                Err(PlatformError::UnknownOutcome(cause)) => last_cause = cause,
                Err(_) => return Err(PlatformError::UnknownOutcome(last_cause)),
            }
        }
        match self.get(key).await {
            Ok(entry) if entry.value == value => resolve(value, Some(entry), lease),
            _ => Err(PlatformError::UnknownOutcome(last_cause)),
        }
    }
}

/// Determines from the current entry whether a write of unknown outcome took effect.
///
/// A write that survived in the copy of an earlier era does not count if it has a lease, because the
/// lease has lapsed.
fn resolve(
    value: &[u8],
    current: Option<Entry>,
    lease: Option<LeaseId>,
) -> Result<StoreRevision, PlatformError> {
    match current {
        Some(entry)
            if entry.value == value
                && lease.is_some_and(|lease| lease.era != entry.revision.era) =>
        {
            Err(era_changed())
        }
        Some(entry) if entry.value == value => Ok(entry.revision),
        current => Err(PlatformError::UnknownOutcome(
            UnknownOutcomeCause::DifferentValue {
                current: current.map(Box::new),
            },
        )),
    }
}

fn era_changed() -> PlatformError {
    PlatformError::UnknownOutcome(UnknownOutcomeCause::EraChanged)
}
