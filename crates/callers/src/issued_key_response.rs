//! Answer to `POST /v1/idempotency-keys`.

use serde::Serialize;

/// Idempotency key that only the issuing instance accepts.
#[derive(Clone, Debug, Serialize)]
pub struct IssuedKeyResponse {
    /// Value for the `Idempotency-Key` header.
    pub idempotency_key: String,
    /// Instance to send the request to.
    pub instance: String,
    /// Time for which the key is remembered, in seconds.
    pub lifetime_s: u64,
}
