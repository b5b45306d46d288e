//! Next step of a request that the local limit can't cover.

use std::time::Duration;

use crate::LoanCall;

/// What to do for a request that needs a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoanStep {
    /// The tokens are here; reserve again.
    Ready,
    /// Send these requests, and reserve again when answers arrive.
    Send(Vec<LoanCall>),
    /// Requests are on their way; reserve again when an answer arrives or they time out.
    Wait,
    /// Every lender was asked lately; refuse the request.
    Refuse {
        /// Time in which the whole rate yields the missing tokens.
        retry_after: Duration,
    },
}
