//! Failure of a link or call.

use std::{io, net::SocketAddr};

use hawthornquay_decisions::{Execution, InstanceId, InstanceName};

use crate::PeerAddress;

/// Error number of Linux: the process has no free file descriptor.
const EMFILE: i32 = 24;

/// Error number of Linux: the system has no free file descriptor.
const ENFILE: i32 = 23;

/// Failure of a link, a call, or the TLS configuration.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// PEM data cannot be parsed.
    #[error("cannot read {what} as PEM: {reason}")]
    Pem {
        /// Input that cannot be parsed: certificate, key or authority.
        what: &'static str,
        /// Description of the error.
        reason: String,
    },
    /// Certificate, key and authority do not form a valid TLS configuration.
    #[error("invalid TLS configuration: {0}")]
    Tls(String),
    /// Generating a certificate or key failed.
    #[error("cannot generate a certificate: {0}")]
    Generate(#[from] rcgen::Error),
    /// The listening socket cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Opening a link to the peer failed.
    #[error("cannot connect to instance {name} at {address}: {source}")]
    Connect {
        /// Name of the expected instance.
        name: InstanceName,
        /// Address of that instance.
        address: SocketAddr,
        /// Error of the operating system or of TLS.
        source: io::Error,
    },
    /// The handshake of an incoming link failed.
    #[error("handshake of the link from {address} failed: {source}")]
    Accept {
        /// Address of the process that opened the link.
        address: SocketAddr,
        /// Error of the operating system or of TLS.
        source: io::Error,
    },
    /// The process at the address is another instance or incarnation than expected.
    #[error("expected instance {expected} at {address}, found {found}")]
    WrongPeer {
        /// Name of the expected instance, with its incarnation if one was given.
        expected: String,
        /// Address of the connection.
        address: SocketAddr,
        /// Instance and incarnation at the address.
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
        /// Instance names in the certificate.
        certified: Vec<InstanceName>,
    },
    /// The encoded message exceeds the frame limit, or the body of a request the limit of the peer.
    #[error("message of {len} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Size in bytes.
        len: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The link ended before the call completed.
    #[error("link to instance {name} ended during a call; execution {}", execution.as_str())]
    LinkEnded {
        /// Name of the called instance.
        name: InstanceName,
        /// Whether the peer may have run the call.
        execution: Execution,
    },
    /// The deadline of the call passed before the reply arrived.
    #[error("call to instance {name} exceeded its deadline; execution {}", execution.as_str())]
    DeadlineExceeded {
        /// Name of the called instance.
        name: InstanceName,
        /// Whether the peer may have run the call.
        execution: Execution,
    },
    /// The peer violated the link protocol.
    #[error("instance {name} violated the link protocol: {reason}")]
    Protocol {
        /// Name of the called instance.
        name: InstanceName,
        /// Description of the violation.
        reason: &'static str,
    },
    /// The peer cancelled the forwarded request, or its link ended.
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

    /// Returns whether the failure is evidence that the peer cannot be reached or is at fault.
    ///
    /// The others are failures of this process or of the single message, which would fail at any
    /// peer.
    pub fn concerns_peer(&self) -> bool {
        match self {
            Self::Connect { source, .. } => !is_local(source),
            Self::WrongPeer { .. }
            | Self::CertificateNameMismatch { .. }
            | Self::LinkEnded { .. }
            | Self::DeadlineExceeded { .. }
            | Self::Protocol { .. } => true,
            Self::TooLarge { .. }
            | Self::Pem { .. }
            | Self::Tls(_)
            | Self::Generate(_)
            | Self::Listen { .. }
            | Self::Accept { .. }
            | Self::Cancelled => false,
        }
    }

    /// Returns whether the peer may have run the failed call.
    ///
    /// `NotRun` means that no byte of the call was written to the socket.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::LinkEnded { execution, .. } | Self::DeadlineExceeded { execution, .. } => {
                *execution
            }
            Self::Protocol { .. } | Self::Cancelled => Execution::Unknown,
            _ => Execution::NotRun,
        }
    }
}

/// Returns whether a connection failed for want of a resource of this process.
fn is_local(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
        || matches!(
            error.kind(),
            io::ErrorKind::AddrNotAvailable | io::ErrorKind::OutOfMemory
        )
}

fn list_names(certified: &[InstanceName]) -> String {
    if certified.is_empty() {
        return "none; generate a new one with `hawthornquay tls new`".to_owned();
    }
    let names: Vec<&str> = certified.iter().map(InstanceName::as_str).collect();
    names.join(", ")
}
