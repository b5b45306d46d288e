//! Log of the names that were removed from a list.

use std::collections::VecDeque;

/// Maximum number of logged removals; a receiver that has missed more gets the complete list.
const MAX_REMOVALS: usize = 256;

/// Names recently removed from a list, with the store revisions of the lists that lacked them.
#[derive(Clone, Debug)]
pub(crate) struct RemovalLog<N> {
    /// Revision since which the log is complete; `None` before the first list.
    complete_since: Option<u64>,
    removals: VecDeque<(u64, N)>,
}

impl<N> Default for RemovalLog<N> {
    fn default() -> Self {
        Self {
            complete_since: None,
            removals: VecDeque::new(),
        }
    }
}

impl<N> RemovalLog<N> {
    /// Starts the log at the revision of the first list; later calls have no effect.
    pub(crate) fn start(&mut self, revision: u64) {
        self.complete_since.get_or_insert(revision);
    }

    /// Records that the list of `revision` lacks `name`.
    pub(crate) fn record(&mut self, revision: u64, name: N) {
        self.removals.push_back((revision, name));
        if self.removals.len() > MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.complete_since = self.complete_since.max(Some(oldest));
        }
    }

    /// Returns the names removed after `revision`, or `None` if the log does not reach back so far.
    pub(crate) fn since(&self, revision: u64) -> Option<impl Iterator<Item = &N>> {
        self.complete_since.filter(|since| revision >= *since)?;
        let removals = self.removals.iter();
        Some(
            removals
                .filter(move |(at, _)| *at > revision)
                .map(|(_, name)| name),
        )
    }
}
