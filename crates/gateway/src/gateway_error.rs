//! Failures of the process.

use std::{io, net::SocketAddr};

use hawthornquay_instances::LinkError;

/// Failure that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// What the address is for.
        purpose: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// The address for other instances cannot be listened on.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The metrics cannot be set up.
    #[error("metrics cannot be set up: {0}")]
    Metrics(#[from] prometheus::Error),
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signals(io::Error),
}
