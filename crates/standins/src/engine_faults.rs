//! Faults of a model engine.

use serde::{Deserialize, Serialize};

/// Faults that a test sets; a field left out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses new requests with 503 and reports that the engine is leaving.
    pub leaving: bool,
    /// Breaks the connection off after this many tokens.
    pub break_after_tokens: Option<u64>,
    /// Sends nothing more after this many tokens and leaves the connection open.
    pub silent_after_tokens: Option<u64>,
    /// Answers with a nonce that is not the caller's.
    pub wrong_nonce: bool,
    /// Answers 500 when asked for its models.
    pub hide_models: bool,
}
