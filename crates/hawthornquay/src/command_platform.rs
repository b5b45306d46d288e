//! Reads from the platform, with retries.

use std::net::SocketAddr;

use hawthornquay_store::{CallTimeouts, ListedInstances, Listing, PlatformClient, PlatformError};

use crate::CommandError;

/// Maximum number of attempts of a read. A read is repeated only after a lost response.
const READ_ATTEMPTS: u32 = 3;

/// Reads the platform's list of instances.
pub(crate) async fn read_instances(address: SocketAddr) -> Result<ListedInstances, CommandError> {
    let client = PlatformClient::new(address, CallTimeouts::default());
    read_with_retries(address, async || client.instances().await).await
}

/// Reads all entries whose keys begin with `prefix`.
pub(crate) async fn read_listing(
    address: SocketAddr,
    prefix: &str,
) -> Result<Listing, CommandError> {
    let client = PlatformClient::new(address, CallTimeouts::default());
    read_with_retries(address, async || client.list(prefix).await).await
}

/// Repeats a read while its response is lost. Reads have no side effects.
async fn read_with_retries<T>(
    address: SocketAddr,
    read: impl AsyncFn() -> Result<T, PlatformError>,
) -> Result<T, CommandError> {
    let mut attempt = 1;
    loop {
        match read().await {
            Ok(answer) => return Ok(answer),
            Err(PlatformError::UnknownOutcome(_)) if attempt < READ_ATTEMPTS => attempt += 1,
            Err(source) => {
                return Err(CommandError::PlatformUnavailable {
                    address,
                    source: source.into(),
                });
            }
        }
    }
}
