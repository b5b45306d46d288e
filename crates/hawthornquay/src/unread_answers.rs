//! Answers whose callers do not read them.

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

/// Answers that are being sent to callers.
#[derive(Default)]
pub struct UnreadAnswers(Mutex<Vec<Weak<Mutex<OpenAnswer>>>>);

impl UnreadAnswers {
    pub(crate) fn add(&self, answer: &Arc<Mutex<OpenAnswer>>) {
        self.0.lock().push(Arc::downgrade(answer));
    }

    /// Ends answers that have been unread the longest, up to the number of requests that wait for
    /// the same model or service.
    fn end_for(&self, mut waiting: Map<RouteTarget, usize>) {
        let answers: Vec<_> = {
            let mut listed = self.0.lock();
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
        node.unread_answers.end_for(node.queue.waiting_by_target());
    }
}
