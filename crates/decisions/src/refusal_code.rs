//! Stable codes of refusals.

use serde::{Deserialize, Serialize};

/// Reason for a refusal, stable across versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// An earlier attempt of the same request has claimed the idempotency key.
    AlreadyClaimed,
    /// The backend server failed after it may have received the request.
    BackendFailed,
    /// A header, the path or the body is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The idempotency key was used for a different request.
    ClaimConflict,
    /// The store of idempotency claims does not respond.
    ClaimStoreUnreachable,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The hop count of a forwarded request is not one; requests are forwarded at most once.
    HopRefused,
    /// The route requires an idempotency key.
    IdempotencyKeyRequired,
    /// The process that issued the idempotency key has ended.
    IssuerGone,
    /// The caller key is missing, unknown or revoked.
    KeyRejected,
    /// The organisation has used up its rate and burst.
    LimitExceeded,
    /// No backend server can accept the request now.
    NoCapacity,
    /// The instance has not installed a bundle yet.
    NotReady,
    /// The instance that the request was forwarded to could not be reached or did not respond.
    PeerUnreachable,
    /// A part of the prompt is quarantined, since requests with it crash backend servers.
    PromptQuarantined,
    /// The instance has no record of the request.
    RequestUnknown,
    /// The organisation's residency does not allow this instance's region, or any region that
    /// serves the target.
    ResidencyRefused,
    /// No service has the requested path, or no backend server serves the requested model.
    RouteUnknown,
    /// The backend servers of the region take no requests from the instance for a time; another instance
    /// may send them.
    ServersPaused,
    /// The instance is shutting down.
    ShuttingDown,
    /// The instance that received the forwarded request has an older bundle than the sender.
    StaleBundle,
}

impl RefusalCode {
    /// Parses a code as written by [`Self::as_str`]; returns `None` for an unknown code.
    pub fn parse(code: &str) -> Option<Self> {
        serde_json::from_value(serde_json::Value::String(code.to_owned())).ok()
    }

    /// Returns the code used in responses and metrics.
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
            Self::PromptQuarantined => "prompt-quarantined",
            Self::RequestUnknown => "request-unknown",
            Self::ResidencyRefused => "residency-refused",
            Self::RouteUnknown => "route-unknown",
            Self::ServersPaused => "servers-paused",
            Self::ShuttingDown => "shutting-down",
            Self::StaleBundle => "stale-bundle",
        }
    }

    /// Returns the HTTP status of the response that carries the refusal.
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
            | Self::PromptQuarantined
            | Self::ServersPaused
            | Self::ShuttingDown
            | Self::StaleBundle => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}
