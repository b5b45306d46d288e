//! Next step of a request for which an instance lacks tokens.

use std::time::Duration;

use crate::LoanCall;

/// Next step of a request that needs a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoanStep {
    /// The tokens are available; reserve again.
    Ready,
    /// Send these loan requests, and reserve again when answers arrive.
    Send(Vec<LoanCall>),
    /// Earlier loan requests are outstanding; reserve again when one is answered or times out.
    Wait,
    /// Refuse the request: it exceeds the organisation's burst, or no lender can be asked now.
    Refuse {
        /// Time in which the missing tokens accrue at the organisation's fleet-wide rate.
        retry_after: Duration,
    },
}
