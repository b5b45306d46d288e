//! Reads from the platform.

use std::net::SocketAddr;

use hawthornquay_store::{CallLimits, ListedInstances, Listing, PlatformClient, PlatformError};

use crate::CommandError;

/// Reads before a lost answer counts as a failure; a read has no effect.
const READ_ATTEMPTS: u32 = 3;

/// Reads the platform's list of instances.
pub(crate) async fn read_instances(address: SocketAddr) -> Result<ListedInstances, CommandError> {
    let client = PlatformClient::new(address, CallLimits::default());
    read_again(address, async || client.instances().await).await
}

/// Reads all keys under `prefix`.
pub(crate) async fn read_listing(
    address: SocketAddr,
    prefix: &str,
) -> Result<Listing, CommandError> {
    let client = PlatformClient::new(address, CallLimits::default());
    read_again(address, async || client.list(prefix).await).await
}

async fn read_again<T>(
    address: SocketAddr,
    read: impl AsyncFn() -> Result<T, PlatformError>,
) -> Result<T, CommandError> {
    let mut attempt = 1;
    loop {
        match read().await {
            Ok(answer) => return Ok(answer),
            Err(PlatformError::LostAnswer(_)) if attempt < READ_ATTEMPTS => attempt += 1,
            Err(source) => {
                return Err(CommandError::PlatformUnavailable {
                    address,
                    source: source.into(),
                });
            }
        }
    }
}
