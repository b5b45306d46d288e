//! Request that a model engine is processing.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio_util::sync::CancellationToken;

use crate::{Usage, UsageDetails};

/// Token counts and cancellation of a request that is queued or running.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) id: String,
    pub(crate) cancel: CancellationToken,
    prompt_tokens: u64,
    cached_tokens: AtomicU64,
    generated_tokens: AtomicU64,
}

impl ActiveRequest {
    pub(crate) fn new(id: &str, prompt_tokens: u64) -> Self {
        Self {
            id: id.to_owned(),
            cancel: CancellationToken::new(),
            prompt_tokens,
            cached_tokens: AtomicU64::new(0),
            generated_tokens: AtomicU64::new(0),
        }
    }

    pub(crate) fn set_cached_tokens(&self, tokens: u64) {
        self.cached_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Counts one generated token; returns its index, starting at 0.
    pub(crate) fn count_token(&self) -> u64 {
        self.generated_tokens.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn usage(&self) -> Usage {
        let generated = self.generated_tokens.load(Ordering::Relaxed);
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: generated,
            total_tokens: self.prompt_tokens + generated,
            prompt_tokens_details: UsageDetails {
                cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
            },
        }
    }
}
