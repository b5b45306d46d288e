//! Configuration of a service's model engines.

/// Configuration of the model engines that serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineConfig {
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
}
