//! Request for a loan from a slot holder.

use std::time::Duration;

use crate::{LimitShare, OrganisationId};

/// Requests a part of a slot holder's slice, or renews and changes an earlier loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Organisation whose limit is borrowed.
    pub organisation: OrganisationId,
    /// Sequence number, which increases with each request of the borrower's incarnation.
    pub sequence: u64,
    /// Rate and capacity that the borrower requests from this lender in total.
    pub share: LimitShare,
    /// Nanotokens that the borrower requests in addition to those it holds.
    pub amount: u64,
    /// Duration of the loan; the lender limits it to [`crate::LoanTerms::DURATION`].
    pub duration: Duration,
}
