//! Failure to read a body.

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection failed while the body was being read.
    #[error("request body was interrupted: {0}")]
    Interrupted(#[source] std::io::Error),
    /// The memory budget for request bodies is used up.
    #[error("memory budget for request bodies is used up")]
    MemoryExhausted,
    /// The body did not arrive within the time-out.
    #[error("timed out while receiving the request body")]
    Timeout,
    /// The body is larger than the limit.
    #[error("request body exceeds {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
}
