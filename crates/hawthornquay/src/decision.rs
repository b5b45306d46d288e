//! Decisions that explain a request.

use hawthornquay_decisions::{BackendName, DomainName, Execution, InstanceName, RefusalCode};

/// One decision taken for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The key was accepted under a bundle version.
    KeyAccepted {
        /// Bundle version.
        version: u64,
    },
    /// The route is open, so no key was needed.
    OpenRoute {
        /// Bundle version.
        version: u64,
    },
    /// The residency allows this instance's region.
    ResidencyAllowed,
    /// The idempotency key was claimed.
    KeyClaimed,
    /// Tokens were reserved.
    Reserved {
        /// Tokens.
        tokens: u64,
    },
    /// A loan of tokens was asked for.
    LoanRequested {
        /// Instance that was asked.
        lender: InstanceName,
    },
    /// A backend server of the own domain was chosen.
    Chosen {
        /// Backend server.
        backend: BackendName,
    },
    /// All servers were busy and the request waited.
    Waited {
        /// Time waited, in milliseconds.
        ms: u64,
    },
    /// The request was forwarded to an instance of another domain.
    Forwarded {
        /// Instance.
        instance: InstanceName,
        /// Failure domain of the instance.
        domain: DomainName,
    },
    /// The request came from an instance of another domain.
    Received {
        /// Sending instance.
        instance: InstanceName,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Backend server or instance.
        at: String,
        /// Whether it may have run.
        execution: Execution,
    },
    /// The answer's head arrived.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The reservation was settled.
    Settled {
        /// Tokens used.
        tokens: u64,
    },
    /// The request was refused.
    Refused {
        /// Code.
        code: RefusalCode,
    },
}

impl std::fmt::Display for Decision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::KeyAccepted { version } => write!(f, "key accepted under bundle {version}"),
            Self::OpenRoute { version } => write!(f, "route open to all under bundle {version}"),
            Self::ResidencyAllowed => f.write_str("residency allows this region"),
            Self::KeyClaimed => f.write_str("idempotency key claimed"),
            Self::Reserved { tokens } => write!(f, "reserved {tokens} tokens"),
            Self::LoanRequested { lender } => write!(f, "asked {lender} for a loan of tokens"),
            Self::Chosen { backend } => write!(f, "chose backend server {backend}"),
            Self::Waited { ms } => write!(f, "waited {ms} ms for a free backend server"),
            Self::Forwarded { instance, domain } => {
                write!(f, "forwarded to {instance} in {domain}")
            }
            Self::Received { instance } => write!(f, "received from {instance}"),
            Self::AttemptFailed { at, execution } => {
                write!(f, "attempt at {at} failed: {}", execution.as_str())
            }
            Self::Answered { status } => write!(f, "answered with status {status}"),
            Self::Settled { tokens } => write!(f, "settled at {tokens} tokens"),
            Self::Refused { code } => write!(f, "refused: {}", code.as_str()),
        }
    }
}
