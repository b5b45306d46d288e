//! Response to `POST /v1/idempotency-keys`.

use serde::Serialize;

/// Issued idempotency key; only the instance that issued it accepts it.
#[derive(Clone, Debug, Serialize)]
pub struct IssuedKeyResponse {
    /// Value for the `Idempotency-Key` header.
    pub idempotency_key: String,
    /// Name of the instance that issued the key and has to receive the request.
    pub instance: String,
    /// Time until the key expires, in seconds.
    pub lifetime_s: u64,
}
