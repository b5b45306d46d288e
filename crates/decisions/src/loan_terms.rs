//! Durations and time-outs of loans.

use std::time::Duration;

/// Durations and time-outs of loans, which must be the same at every instance of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct LoanTerms;

impl LoanTerms {
    /// Time for which the borrower may spend a loan, counted from sending the request.
    ///
    /// An accepted bundle has to be in force at all instances within 4 s. A rate that the bundle
    /// lowers is fully enforced only after the loans granted before have ended. The delivery of the
    /// bundle and this duration must therefore take less than 4 s together.
    pub const DURATION: Duration = Duration::from_secs(3);
    /// Duration of a loan for one large request; short, so that the lender's capacity is soon free.
    pub const ONE_REQUEST_DURATION: Duration = Duration::from_millis(1_000);
    /// Time that the lender adds to a loan, because the borrower's clock may run slower than its
    /// own.
    pub const EXPIRY_MARGIN: Duration = Duration::from_millis(250);
    /// Longest time after a grant for which the lender counts the loan as lent.
    pub const MAX_LENDER_DURATION: Duration = Self::DURATION.saturating_add(Self::EXPIRY_MARGIN);
    /// Time before the end of a loan from which on it is renewed.
    pub const RENEW_BEFORE: Duration = Duration::from_millis(1_000);
    /// Time after which a request without an answer counts as lost.
    pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
    /// Shortest time between two requests to one lender for one organisation, except after a grant
    /// of the full amount.
    pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
}
