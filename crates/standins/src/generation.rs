//! Generation of an answer.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    EngineFaults, Usage,
    active_request::ActiveRequest,
    engine_state::{EngineState, QueueKey},
    generated_text::generated_token,
    generation_step::GenerationStep,
    pause::pause_until,
};

/// Generation of the answer to one request; keeps its queue entry or slot until it is dropped.
#[derive(Debug)]
pub(crate) struct Generation {
    state: Arc<Mutex<EngineState>>,
    request: Arc<ActiveRequest>,
    queue_key: QueueKey,
    slot_granted: Option<oneshot::Receiver<()>>,
    prefixes: Vec<String>,
    nonce: String,
    max_tokens: u64,
    decode_interval: Duration,
    next_token_at: Instant,
    faults: EngineFaults,
    completed: bool,
}

impl Generation {
    /// Queues a request; one with a lower `priority_rank` is served first.
    pub(crate) fn start(
        state: &Arc<Mutex<EngineState>>,
        request: ActiveRequest,
        priority_rank: u8,
        prefixes: Vec<String>,
        nonce: &str,
        max_tokens: u64,
        decode_interval: Duration,
    ) -> Self {
        let now = Instant::now();
        let request = Arc::new(request);
        let mut engine = state.lock();
        let (queue_key, slot_granted) = engine.enqueue(now, priority_rank, &request);
        let faults = engine.faults;
        drop(engine);
        let nonce = if faults.wrong_nonce { "crossed" } else { nonce };
        Self {
            state: Arc::clone(state),
            request,
            queue_key,
            slot_granted: Some(slot_granted),
            prefixes,
            nonce: nonce.to_owned(),
            max_tokens,
            decode_interval,
            next_token_at: now,
            faults,
            completed: false,
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        self.request.usage()
    }

    /// Waits for the next token or the end of the generation.
    pub(crate) async fn next(&mut self) -> GenerationStep {
        let request = Arc::clone(&self.request);
        tokio::select! {
            biased;
            () = request.cancel.cancelled() => GenerationStep::Cancelled,
            step = self.next_step() => step,
        }
    }

    async fn next_step(&mut self) -> GenerationStep {
        if let Some(slot_granted) = &mut self.slot_granted {
            // The sender is dropped only together with the engine's state.
            let _ = slot_granted.await;
            self.slot_granted = None;
            self.schedule_prefill();
        }
        let generated = self.usage().completion_tokens;
        if generated == self.max_tokens {
            self.completed = true;
            return GenerationStep::Finished;
        }
        if self.faults.break_after_tokens == Some(generated) {
            return GenerationStep::ConnectionAborted;
        }
        if self.faults.silent_after_tokens == Some(generated) {
            std::future::pending::<()>().await;
        }
        pause_until(self.next_token_at).await;
        if generated == 0 {
            let prefixes = std::mem::take(&mut self.prefixes);
            self.state.lock().store_prefixes(Instant::now(), &prefixes);
        }
        self.next_token_at += self.decode_interval;
        let index = self.request.count_token();
        GenerationStep::Token(generated_token(&self.nonce, index))
    }

    fn schedule_prefill(&mut self) {
        let mut state = self.state.lock();
        let cached = state.cache.cached_tokens(&self.prefixes);
        state.counters.cached_tokens += cached;
        self.request.set_cached_tokens(cached);
        let uncached = self.usage().prompt_tokens - cached;
        self.next_token_at = state.schedule_prefill(Instant::now(), uncached);
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let generated = self.usage().completion_tokens;
        let mut state = self.state.lock();
        state.counters.generated_tokens += generated;
        if self.completed {
            state.counters.completed += 1;
        } else {
            state.counters.cancelled += 1;
        }
        state.release(Instant::now(), self.queue_key, &self.request);
    }
}
