//! In-memory store with fault injection, and a scheduler that interleaves concurrent operators.

use std::{
    collections::{BTreeMap, VecDeque},
    future::{Future, poll_fn},
    pin::{Pin, pin},
    sync::Mutex,
    task::{Context, Poll, Waker},
};

use hawthornquay_decisions::StoreRevision;
use hawthornquay_operators::{BundleStore, HEAD_KEY, StoreEntry, StoreError};

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    None,
    /// The request is lost: the call has no effect and no response.
    RequestLost,
    /// The response is lost: the call takes effect.
    ResponseLost,
    /// The response is lost, and a write takes effect only at the third call after it.
    Delayed,
    RateExceeded,
    Unreachable,
}

struct Write {
    key: String,
    value: Vec<u8>,
    /// Revision that the key must have.
    expected: StoreRevision,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, StoreEntry>,
    revision: StoreRevision,
    faults: VecDeque<CallFault>,
    delayed: VecDeque<(u32, Write)>,
    heads: Vec<Vec<u8>>,
}

impl State {
    fn write(&mut self, write: Write) -> Result<StoreRevision, StoreError> {
        let found = self
            .entries
            .get(&write.key)
            .map_or(StoreRevision::ABSENT, |entry| entry.revision);
        if found != write.expected {
            return Err(StoreError::Conflict);
        }
        assert!(write.value.len() < 1_000_000, "a value must be below 1 MB");
        self.revision.revision += 1;
        if write.key == HEAD_KEY {
            self.heads.push(write.value.clone());
        }
        let entry = StoreEntry {
            value: write.value,
            revision: self.revision,
        };
        self.entries.insert(write.key, entry);
        Ok(self.revision)
    }

    fn next_fault(&mut self) -> CallFault {
        for (calls, _) in &mut self.delayed {
            *calls = calls.saturating_sub(1);
        }
        while self.delayed.front().is_some_and(|(calls, _)| *calls == 0) {
            let (_, write) = self.delayed.pop_front().unwrap();
            let _ = self.write(write);
        }
        self.faults.pop_front().unwrap_or(CallFault::None)
    }

    fn call(&mut self, write: Write) -> Result<StoreRevision, StoreError> {
        match self.next_fault() {
            CallFault::None => self.write(write),
            CallFault::RequestLost => Err(StoreError::AnswerLost),
            CallFault::ResponseLost => {
                let _ = self.write(write);
                Err(StoreError::AnswerLost)
            }
            CallFault::Delayed => {
                self.delayed.push_back((3, write));
                Err(StoreError::AnswerLost)
            }
            CallFault::RateExceeded => Err(StoreError::RateExceeded),
            CallFault::Unreachable => Err(StoreError::Unreachable),
        }
    }
}

#[derive(Default)]
pub struct FakeStore(Mutex<State>);

impl FakeStore {
    /// Sets the faults of the next calls. Later calls have no fault.
    pub fn inject_faults(&self, faults: impl IntoIterator<Item = CallFault>) {
        self.0.lock().unwrap().faults = faults.into_iter().collect();
    }

    /// Applies the delayed writes and removes the remaining faults.
    pub fn apply_delayed_writes(&self) {
        let mut state = self.0.lock().unwrap();
        state.faults.clear();
        while let Some((_, write)) = state.delayed.pop_front() {
            let _ = state.write(write);
        }
    }

    /// Returns all values that were written to the head, the oldest first.
    pub fn heads(&self) -> Vec<Vec<u8>> {
        self.0.lock().unwrap().heads.clone()
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.0
            .lock()
            .unwrap()
            .entries
            .get(key)
            .map(|entry| entry.value.clone())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.0.lock().unwrap();
        state
            .entries
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn overwrite(&self, key: &str, value: &[u8]) {
        let mut state = self.0.lock().unwrap();
        state.revision.revision += 1;
        let entry = StoreEntry {
            value: value.to_vec(),
            revision: state.revision,
        };
        state.entries.insert(key.to_owned(), entry);
    }

    /// Begins a new era, in which the present entries keep their revisions.
    pub fn begin_era(&self) {
        let mut state = self.0.lock().unwrap();
        state.revision.era += 1;
        let era = state.revision.era;
        for entry in state.entries.values_mut() {
            entry.revision.era = era;
        }
    }

    pub fn remove(&self, key: &str) {
        self.0.lock().unwrap().entries.remove(key);
    }
}

impl BundleStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        yield_once().await;
        let mut state = self.0.lock().unwrap();
        match state.next_fault() {
            CallFault::None => Ok(state.entries.get(key).cloned()),
            CallFault::RateExceeded => Err(StoreError::RateExceeded),
            CallFault::Unreachable => Err(StoreError::Unreachable),
            _ => Err(StoreError::AnswerLost),
        }
    }

    async fn create_if_absent(&self, key: &str, value: &[u8]) -> Result<StoreRevision, StoreError> {
        self.compare_and_swap(key, value, StoreRevision::ABSENT)
            .await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: StoreRevision,
    ) -> Result<StoreRevision, StoreError> {
        yield_once().await;
        let write = Write {
            key: key.to_owned(),
            value: value.to_vec(),
            expected,
        };
        self.0.lock().unwrap().call(write)
    }

    async fn delete(&self, key: &str) -> Result<bool, StoreError> {
        yield_once().await;
        let mut state = self.0.lock().unwrap();
        match state.next_fault() {
            CallFault::None => Ok(state.entries.remove(key).is_some()),
            CallFault::RequestLost => Err(StoreError::AnswerLost),
            CallFault::ResponseLost | CallFault::Delayed => {
                state.entries.remove(key);
                Err(StoreError::AnswerLost)
            }
            CallFault::RateExceeded => Err(StoreError::RateExceeded),
            CallFault::Unreachable => Err(StoreError::Unreachable),
        }
    }
}

/// Yields once before each call, so that the scheduler can run another operator.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|_| {
        if std::mem::replace(&mut yielded, true) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Polls a future until it completes.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    loop {
        if let Poll::Ready(value) = future
            .as_mut()
            .poll(&mut Context::from_waker(Waker::noop()))
        {
            return value;
        }
    }
}

/// Runs all futures until they complete. `schedule` lists the indices of the futures to poll; after
/// it, they are polled in turn.
pub fn interleave<'a, T>(
    futures: Vec<Pin<Box<dyn Future<Output = T> + 'a>>>,
    schedule: &[usize],
) -> Vec<T> {
    let count = futures.len();
    let mut running: Vec<_> = futures.into_iter().map(Some).collect();
    let mut results: Vec<Option<T>> = running.iter().map(|_| None).collect();
    let mut turns = schedule
        .iter()
        .copied()
        .chain((0..).map(|turn| turn % count));
    while running.iter().any(Option::is_some) {
        let index = turns.next().unwrap() % count;
        let Some(future) = &mut running[index] else {
            continue;
        };
        if let Poll::Ready(value) = future
            .as_mut()
            .poll(&mut Context::from_waker(Waker::noop()))
        {
            results[index] = Some(value);
            running[index] = None;
        }
    }
    results.into_iter().map(Option::unwrap).collect()
}
