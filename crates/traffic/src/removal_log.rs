//! Log of the names that were removed from a list.

use std::collections::VecDeque;

use crate::StoreRevision;

/// Maximum number of logged removals; a receiver that has missed more gets the complete list.
const MAX_REMOVALS: usize = 256;

/// Names recently removed from a list, with the store revisions of the lists that lacked them.
#[derive(Clone, Debug)]
pub(crate) struct RemovalLog<N> {
    /// Revision since which the log is complete; `None` before the first list.
    complete_since: Option<StoreRevision>,
    removals: VecDeque<(StoreRevision, N)>,
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
    /// Starts the log at the revision of the first list of an era; later calls have no effect.
    pub(crate) fn start(&mut self, revision: StoreRevision) {
        if self
            .complete_since
            .is_none_or(|since| since.era != revision.era)
        {
            self.complete_since = Some(revision);
            self.removals.clear();
        }
    }

    /// Records that the list of `revision` lacks `name`.
    pub(crate) fn record(&mut self, revision: StoreRevision, name: N) {
        self.removals.push_back((revision, name));
        if self.removals.len() > MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.complete_since = self.complete_since.max(Some(oldest));
        }
    }

    /// Returns the names removed after `revision`, or `None` if the log does not reach back so far.
    pub(crate) fn since(&self, revision: StoreRevision) -> Option<impl Iterator<Item = &N>> {
        self.complete_since.filter(|since| revision >= *since)?;
        let removals = self.removals.iter();
        Some(
            removals
                .filter(move |(at, _)| *at > revision)
                .map(|(_, name)| name),
        )
    }
}
