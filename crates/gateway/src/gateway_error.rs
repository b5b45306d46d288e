//! Errors that end the gateway process.

use std::{io, net::SocketAddr};

use hawthornquay_instances::LinkError;

/// Error that ends the gateway process.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Purpose of the address.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address for other instances cannot be listened on.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A metric cannot be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(io::Error),
}
