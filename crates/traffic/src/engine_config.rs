//! Terms of the model engines of a service.

/// Terms of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineConfig {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_capacity_tokens: u64,
}
