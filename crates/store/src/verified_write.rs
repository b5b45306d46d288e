//! Writes whose lost answers are resolved.

use crate::{Entry, LeaseId, PlatformClient, PlatformError, Revision, UnknownOutcomeCause};

const ATTEMPTS: usize = 3;

impl PlatformClient {
    /// Replaces a key like `compare_and_swap`; a lost answer is resolved by reading the key back.
    ///
    /// `value` has to contain a token that no other write uses, such as a random number: the key
    /// holding exactly `value` is taken as proof that this write took effect. A key that is still
    /// at `expect` is written again, which is safe because at most one of the writes can succeed.
    ///
    /// # Errors
    ///
    /// Returns `UnknownOutcome` if the outcome stays unknown: with `DifferentValue` if the key has another
    /// value by now, otherwise with the cause of the last loss. All other errors are as for
    /// `compare_and_swap`, and certain.
    pub async fn compare_and_swap_verified(
        &self,
        key: &str,
        value: &[u8],
        expect: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        let mut lost = match self.compare_and_swap(key, value, expect, lease).await {
            Err(PlatformError::UnknownOutcome(cause)) => cause,
            certain => return certain,
        };
        for _ in 1..ATTEMPTS {
            let current = match self.get(key).await {
                Ok(entry) => Some(entry),
                Err(PlatformError::NotFound) => None,
                Err(_) => return Err(PlatformError::UnknownOutcome(lost)),
            };
            if current.as_ref().map_or(Revision(0), |entry| entry.revision) != expect {
                return resolve(value, current);
            }
            // The lost write may still be under way and take effect first; the conflict that this
            // one meets then shows it.
            match self.compare_and_swap(key, value, expect, lease).await {
                Ok(revision) => return Ok(revision),
                Err(PlatformError::Conflict { current }) => {
                    return resolve(value, current.map(|entry| *entry));
                }
                Err(PlatformError::UnknownOutcome(cause)) => lost = cause,
                Err(_) => return Err(PlatformError::UnknownOutcome(lost)),
            }
        }
        match self.get(key).await {
            Ok(entry) if entry.value == value => Ok(entry.revision),
            _ => Err(PlatformError::UnknownOutcome(lost)),
        }
    }
}

/// Decides from the present entry whether a write with a lost answer took effect.
fn resolve(value: &[u8], current: Option<Entry>) -> Result<Revision, PlatformError> {
    match current {
        Some(entry) if entry.value == value => Ok(entry.revision),
        current => Err(PlatformError::UnknownOutcome(
            UnknownOutcomeCause::DifferentValue {
                current: current.map(Box::new),
            },
        )),
    }
}
