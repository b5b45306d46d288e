//! Failure to read a body.

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The sender broke off.
    #[error("the body broke off: {0}")]
    Interrupted(#[source] std::io::Error),
    /// The bodies that are being read take up the memory set aside for them.
    #[error("too many bodies are being received")]
    MemoryExhausted,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
}
