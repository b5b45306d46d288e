//! Limits on the refunds of a bucket's open reservations.

use std::collections::VecDeque;

/// Consecutive open reservations with the same minimum headroom.
///
/// `min_headroom` is stored with an offset: the sum of all refunds made before it was recorded. The
/// refund limit of these reservations is `min_headroom` minus the sum of all refunds made so far,
/// so that a refund lowers the limits of all runs without an update of each.
#[derive(Clone, Debug)]
struct ReservationRun {
    /// Number of the first reservation.
    first: u64,
    /// Number of reservations that are still open.
    open_count: u64,
    min_headroom: i128,
}

/// Tracks the minimum headroom of a bucket since each of its open reservations was made.
///
/// The minimum headroom limits the refund: if the reserved tokens had stayed in the bucket, those
/// above it would have overflowed. Each refund lowers the limit of all other open reservations,
/// because two refunds must not use the same headroom. All future refunds together are therefore at
/// most the current headroom.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitRefunds {
    runs: VecDeque<ReservationRun>,
    /// Nanotokens refunded so far.
    refunded: i128,
    next_reservation: u64,
}

impl LimitRefunds {
    /// Records the current headroom in nanotokens.
    pub(crate) fn observe(&mut self, headroom: u64) {
        let min_headroom = i128::from(headroom) + self.refunded;
        let mut open_count = 0;
        let mut first = None;
        while let Some(run) = self
            .runs
            .pop_back_if(|run| run.min_headroom >= min_headroom)
        {
            open_count += run.open_count;
            first = Some(run.first);
        }
        if let Some(first) = first {
            self.runs.push_back(ReservationRun {
                first,
                open_count,
                min_headroom,
            });
        }
    }

    /// Adds a reservation after which the headroom is `headroom` nanotokens; returns its number.
    pub(crate) fn open(&mut self, headroom: u64) -> u64 {
        let first = self.next_reservation;
        self.next_reservation += 1;
        self.runs.push_back(ReservationRun {
            first,
            open_count: 1,
            min_headroom: i128::from(headroom) + self.refunded,
        });
        first
    }

    /// Removes a reservation and returns how much of `amount` nanotokens may be refunded.
    pub(crate) fn close(&mut self, reservation: u64, amount: u64) -> u64 {
        let Some(index) = self
            .runs
            .partition_point(|run| run.first <= reservation)
            .checked_sub(1)
        else {
            return 0;
        };
        let run = &mut self.runs[index];
        let min_headroom =
            u64::try_from((run.min_headroom - self.refunded).max(0)).unwrap_or(u64::MAX);
        run.open_count -= 1;
        if run.open_count == 0 {
            self.runs.remove(index);
        }
        let refund = amount.min(min_headroom);
        self.refunded += i128::from(refund);
        refund
    }
}
