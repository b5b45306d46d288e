//! Errors of links.

use std::{io, net::SocketAddr};

use hawthornquay_decisions::{Execution, InstanceId, InstanceName};

use crate::PeerAddress;

/// Failure of a link, a call or the set-up of TLS.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// PEM text cannot be read.
    #[error("the {what} is not usable PEM: {reason}")]
    Pem {
        /// Which of the three texts.
        what: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// Certificate, key and authority do not make a working configuration.
    #[error("TLS configuration: {0}")]
    Tls(String),
    /// A certificate cannot be generated.
    #[error("certificate generation: {0}")]
    Generate(#[from] rcgen::Error),
    /// The listening socket cannot be bound.
    #[error("listening on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// No link to the peer can be opened.
    #[error("connecting to instance {name} at {address}: {source}")]
    Connect {
        /// Expected instance.
        name: InstanceName,
        /// Its address.
        address: SocketAddr,
        /// Error of the system or of TLS.
        source: io::Error,
    },
    /// A link that another process opened did not finish its handshake.
    #[error("accepting a link from {address}: {source}")]
    Accept {
        /// Address of the other end.
        address: SocketAddr,
        /// Error of the system or of TLS.
        source: io::Error,
    },
    /// Another instance or incarnation answers at the address.
    #[error("expected instance {expected} at {address}, found {found}")]
    WrongPeer {
        /// Expected instance.
        expected: String,
        /// Address that was called.
        address: SocketAddr,
        /// Instance that answered.
        found: InstanceId,
    },
    /// The peer's certificate does not name the instance that the peer claims to be.
    #[error(
        "the peer claims to be instance {claimed}, but its certificate names {}",
        list_names(certified)
    )]
    CertificateNameMismatch {
        /// Instance that the peer claims to be.
        claimed: InstanceName,
        /// Instances that the certificate names.
        certified: Vec<InstanceName>,
    },
    /// The message is larger than a frame may be.
    #[error("message of {len} bytes exceeds the frame limit of {limit} bytes")]
    TooLarge {
        /// Encoded size.
        len: usize,
        /// Largest encoded size.
        limit: usize,
    },
    /// The link ended before the call did.
    #[error("the link to instance {name} was lost; execution {}", execution.as_str())]
    Lost {
        /// Called instance.
        name: InstanceName,
        /// Whether the call may have reached it.
        execution: Execution,
    },
    /// The deadline passed before the reply came.
    #[error("no reply from instance {name} in time; execution {}", execution.as_str())]
    DeadlineExceeded {
        /// Called instance.
        name: InstanceName,
        /// Whether the call may have reached it.
        execution: Execution,
    },
    /// The peer broke the protocol.
    #[error("instance {name} broke the link protocol: {reason}")]
    Protocol {
        /// Called instance.
        name: InstanceName,
        /// What it did.
        reason: &'static str,
    },
    /// Nobody waits for the answer any more.
    #[error("the peer cancelled the forwarded request or its link ended")]
    Cancelled,
}

impl LinkError {
    pub(crate) fn connect(peer: &PeerAddress, source: io::Error) -> Self {
        Self::Connect {
            name: peer.name.clone(),
            address: peer.address,
            source,
        }
    }

    /// Returns whether the failed call may have run at the peer.
    ///
    /// `NotRun` means that no byte of the call was handed to the socket.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Lost { execution, .. } | Self::DeadlineExceeded { execution, .. } => *execution,
            Self::Protocol { .. } | Self::Cancelled => Execution::Unknown,
            _ => Execution::NotRun,
        }
    }
}

fn list_names(certified: &[InstanceName]) -> String {
    if certified.is_empty() {
        return "none; generate a new one with `hawthornquay tls new`".to_owned();
    }
    let names: Vec<&str> = certified.iter().map(InstanceName::as_str).collect();
    names.join(", ")
}
