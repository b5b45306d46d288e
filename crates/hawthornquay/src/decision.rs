//! Decisions about a request, which explain its outcome to callers and operators.

use hawthornquay_decisions::{BackendName, DomainName, Execution, InstanceName, RefusalCode};

/// Decision or event in the course of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The API key is valid under the bundle.
    KeyAccepted {
        /// Bundle version.
        version: u64,
    },
    /// The route is open, so no API key was needed.
    OpenRoute {
        /// Bundle version.
        version: u64,
    },
    /// The residency allows this instance's region.
    ResidencyAllowed,
    /// The idempotency key was claimed.
    KeyClaimed,
    /// Tokens were reserved from the organisation's rate.
    Reserved {
        /// Number of tokens.
        tokens: u64,
    },
    /// A loan of tokens was requested from another instance.
    LoanRequested {
        /// Instance that received the request.
        lender: InstanceName,
    },
    /// A backend server of this instance's failure domain was chosen.
    Chosen {
        /// Chosen backend server.
        backend: BackendName,
    },
    /// The request waited in the queue because all backend servers were busy.
    Waited {
        /// Time in the queue, in milliseconds.
        ms: u64,
    },
    /// The request was forwarded to an instance of another failure domain.
    Forwarded {
        /// Instance that it was forwarded to.
        instance: InstanceName,
        /// Failure domain of that instance.
        domain: DomainName,
    },
    /// The request was received from an instance of another failure domain.
    Received {
        /// Sending instance.
        instance: InstanceName,
    },
    /// An attempt to run the request failed.
    AttemptFailed {
        /// Backend server or failure domain that the attempt used.
        at: String,
        /// Whether the request may have run.
        execution: Execution,
    },
    /// The answer's head arrived.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The reservation was replaced by the tokens that the request used.
    Settled {
        /// Number of tokens charged.
        tokens: u64,
    },
    /// The request was refused.
    Refused {
        /// Code of the refusal.
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
