//! Answers whose callers do not read them, and requests that wait because of them.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use hawthornquay_decisions::{Map, RouteTarget};
use parking_lot::Mutex;

use crate::{Node, metered_answer::OpenAnswer};

/// Time for which an answer must have been unread before it is ended.
///
/// A caller that reads steadily empties the buffers of its connection in bursts, because the kernel
/// asks for more only when a third of them is free. Queued requests wait for up to 10 s.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a request to a model that was sent and has no answer counts as waiting for a
/// slot of its engine. It is above all targets for the first part of an answer.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers that are being sent to callers, and requests whose answers have not started.
#[derive(Default)]
pub struct UnreadAnswers {
    open: Mutex<Vec<Weak<Mutex<OpenAnswer>>>>,
    awaited: Mutex<AwaitedStarts>,
}

#[derive(Default)]
struct AwaitedStarts {
    next_key: u64,
    by_key: Map<u64, (RouteTarget, Instant)>,
}

/// Request that was sent and whose answer has not started until this is dropped.
pub(crate) struct AwaitedStart<'a> {
    answers: &'a UnreadAnswers,
    key: u64,
}

impl Drop for AwaitedStart<'_> {
    fn drop(&mut self) {
        self.answers.awaited.lock().by_key.remove(&self.key);
    }
}

impl UnreadAnswers {
    pub(crate) fn add(&self, answer: &Arc<Mutex<OpenAnswer>>) {
        self.open.lock().push(Arc::downgrade(answer));
    }

    /// Records that a request for `target` is sent.
    pub(crate) fn await_start(&self, target: &RouteTarget) -> AwaitedStart<'_> {
        let mut awaited = self.awaited.lock();
        let key = awaited.next_key;
        awaited.next_key += 1;
        let entry = (target.clone(), Instant::now());
        awaited.by_key.insert(key, entry);
        drop(awaited);
        AwaitedStart { answers: self, key }
    }

    /// Adds the requests to models whose answers should have started to `waiting`.
    ///
    /// An engine queues requests itself if the instance takes one of its slots for free.
    fn add_overdue_starts(&self, waiting: &mut Map<RouteTarget, usize>) {
        for (target, sent) in self.awaited.lock().by_key.values() {
            if matches!(target, RouteTarget::Model(_)) && sent.elapsed() >= START_TIMEOUT {
                *waiting.entry(target.clone()).or_default() += 1;
            }
        }
    }

    /// Ends answers that have been unread the longest, up to the number of requests that wait for
    /// the same model or service.
    fn end_for(&self, mut waiting: Map<RouteTarget, usize>) {
        let answers: Vec<_> = {
            let mut listed = self.open.lock();
            listed.retain(|answer| answer.strong_count() > 0);
            listed.iter().filter_map(Weak::upgrade).collect()
        };
        if waiting.is_empty() {
            return;
        }
        let unread_since = |answer: &Arc<Mutex<OpenAnswer>>| answer.lock().unread_since();
        let mut unread: Vec<(Instant, _)> = answers
            .into_iter()
            .filter_map(|answer| Some((unread_since(&answer)?, answer)))
            .filter(|(since, _)| since.elapsed() >= UNREAD_TIMEOUT)
            .collect();
        unread.sort_unstable_by_key(|(since, _)| *since);
        for (_, answer) in unread {
            let mut answer = answer.lock();
            let waiting = answer.target().and_then(|target| waiting.get_mut(target));
            if let Some(waiting) = waiting.filter(|waiting| **waiting > 0) {
                *waiting -= 1;
                answer.end_unread();
            }
        }
    }
}

/// Ends unread answers while requests wait for the backend servers that they occupy.
///
/// A caller that does not read would otherwise keep a slot of a model engine for as long as it likes.
pub async fn run_unread_answer_checks(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let mut waiting = node.queue.waiting_by_target();
        node.unread_answers.add_overdue_starts(&mut waiting);
        node.unread_answers.end_for(waiting);
    }
}
