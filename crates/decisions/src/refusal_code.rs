//! Stable codes of refusals.

use serde::{Deserialize, Serialize};

/// Reason for a refusal, stable across versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The idempotency key belongs to an earlier request.
    AlreadyClaimed,
    /// The backend server failed after it may have received the request.
    BackendFailed,
    /// The header, path or body is malformed.
    BadRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The idempotency key was used for another request.
    ClaimConflict,
    /// The store that records idempotency claims does not answer.
    ClaimStoreUnreachable,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// A forwarded request asked for a second hop.
    HopRefused,
    /// The route needs an idempotency key.
    IdempotencyKeyRequired,
    /// The issued idempotency key belongs to a process that ended.
    IssuerGone,
    /// The key is missing, unknown or withdrawn.
    KeyRejected,
    /// The organisation has used up its rate and burst.
    LimitExceeded,
    /// No backend server can take the request now.
    NoCapacity,
    /// The instance has no bundle yet.
    NotReady,
    /// The receiving instance could not be reached, or did not answer.
    PeerUnreachable,
    /// The instance does not remember the request.
    RequestUnknown,
    /// The caller's residency does not allow this instance.
    ResidencyRefused,
    /// Nothing is served at this path.
    RouteUnknown,
    /// The instance is shutting down.
    ShuttingDown,
    /// The receiver holds an older bundle than the sender.
    StaleBundle,
}

impl RefusalCode {
    /// Reads a code as [`Self::as_str`] writes it.
    pub fn parse(code: &str) -> Option<Self> {
        serde_json::from_value(serde_json::Value::String(code.to_owned())).ok()
    }

    /// Returns the code used in answers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AlreadyClaimed => "already-claimed",
            Self::BackendFailed => "backend-failed",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::ClaimConflict => "claim-conflict",
            Self::ClaimStoreUnreachable => "claim-store-unreachable",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::HopRefused => "hop-refused",
            Self::IdempotencyKeyRequired => "idempotency-key-required",
            Self::IssuerGone => "issuer-gone",
            Self::KeyRejected => "key-rejected",
            Self::LimitExceeded => "limit-exceeded",
            Self::NoCapacity => "no-capacity",
            Self::NotReady => "not-ready",
            Self::PeerUnreachable => "peer-unreachable",
            Self::RequestUnknown => "request-unknown",
            Self::ResidencyRefused => "residency-refused",
            Self::RouteUnknown => "route-unknown",
            Self::ShuttingDown => "shutting-down",
            Self::StaleBundle => "stale-bundle",
        }
    }

    /// Returns the HTTP status that carries the refusal.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::IdempotencyKeyRequired => 400,
            Self::KeyRejected => 401,
            Self::RequestUnknown | Self::RouteUnknown => 404,
            Self::BodyTimeout => 408,
            Self::AlreadyClaimed | Self::ClaimConflict | Self::IssuerGone => 409,
            Self::BodyTooLarge => 413,
            Self::ResidencyRefused => 421,
            Self::LimitExceeded => 429,
            Self::BackendFailed | Self::PeerUnreachable => 502,
            Self::ClaimStoreUnreachable
            | Self::HopRefused
            | Self::NoCapacity
            | Self::NotReady
            | Self::ShuttingDown
            | Self::StaleBundle => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}
