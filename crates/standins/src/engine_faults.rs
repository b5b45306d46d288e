//! Injected faults of a model engine.

use serde::{Deserialize, Serialize};

/// Faults that a test injects; an omitted field disables the fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses new requests with status 503 and sets `leaving` in load reports.
    pub leaving: bool,
    /// Aborts the connection after this number of tokens.
    pub break_after_tokens: Option<u64>,
    /// Stops sending after this number of tokens and leaves the connection open.
    pub silent_after_tokens: Option<u64>,
    /// Generates answers with a nonce other than that of the request.
    pub wrong_nonce: bool,
    /// Responds with status 500 to `GET /v1/models`.
    pub hide_models: bool,
}
