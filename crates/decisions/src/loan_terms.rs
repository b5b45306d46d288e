//! Times of loans.

use std::time::Duration;

/// Times that every instance of a fleet uses for loans.
#[derive(Clone, Copy, Debug)]
pub struct LoanTerms;

impl LoanTerms {
    /// Time for which the borrower may spend a loan, counted from sending the request.
    ///
    /// A lowered rate takes full force when the loans made before have ended, which together with
    /// the delivery of the bundle must stay under the 4 s of invariant 11.
    pub const DURATION: Duration = Duration::from_secs(3);
    /// Time of a loan for a single request, which binds the lender's capacity only shortly.
    pub const ONE_REQUEST_DURATION: Duration = Duration::from_millis(1_000);
    /// Time that the lender adds, so that clocks which run at different speeds are harmless.
    pub const EXPIRY_MARGIN: Duration = Duration::from_millis(250);
    /// Longest time for which a loan can bind a lender after it was granted.
    pub const MAX_LENDER_DURATION: Duration = Self::DURATION.saturating_add(Self::EXPIRY_MARGIN);
    /// Time before its end at which a loan in use is renewed.
    pub const RENEW_BEFORE: Duration = Duration::from_millis(1_000);
    /// Time after which an unanswered request counts as lost.
    pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
    /// Shortest time between two requests to one lender for one organisation.
    pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
}
