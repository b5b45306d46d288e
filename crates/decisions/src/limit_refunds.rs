//! Least headroom since each reservation.

use std::collections::VecDeque;

/// Run of neighbouring open reservations with the same least headroom.
#[derive(Clone, Debug)]
struct RefundRun {
    first: u64,
    open: u64,
    least: i128,
}

/// Tracks, for each open reservation of a bucket, the least headroom since it was made.
///
/// Each refund lowers the value for all other open reservations, because they must not be refunded
/// into the same headroom. All refunds to come therefore add up to at most the present headroom.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitRefunds {
    runs: VecDeque<RefundRun>,
    refunded: i128,
    next: u64,
}

impl LimitRefunds {
    /// Records the present headroom in nanotokens.
    pub(crate) fn observe(&mut self, headroom: u64) {
        let least = i128::from(headroom) + self.refunded;
        let mut open = 0;
        let mut first = None;
        while let Some(run) = self.runs.pop_back_if(|run| run.least >= least) {
            open += run.open;
            first = Some(run.first);
        }
        if let Some(first) = first {
            self.runs.push_back(RefundRun { first, open, least });
        }
    }

    /// Opens a reservation after which the headroom is `headroom` nanotokens.
    pub(crate) fn open(&mut self, headroom: u64) -> u64 {
        let first = self.next;
        self.next += 1;
        self.runs.push_back(RefundRun {
            first,
            open: 1,
            least: i128::from(headroom) + self.refunded,
        });
        first
    }

    /// Closes a reservation and returns how much of `amount` nanotokens may come back.
    pub(crate) fn close(&mut self, number: u64, amount: u64) -> u64 {
        let Some(at) = self
            .runs
            .partition_point(|run| run.first <= number)
            .checked_sub(1)
        else {
            return 0;
        };
        let run = &mut self.runs[at];
        let least = u64::try_from((run.least - self.refunded).max(0)).unwrap_or(u64::MAX);
        run.open -= 1;
        if run.open == 0 {
            self.runs.remove(at);
        }
        let refund = amount.min(least);
        self.refunded += i128::from(refund);
        refund
    }
}
