//! Request for a loan.

use std::time::Duration;

use crate::{LimitShare, OrganisationId};

/// Asks a slot holder for a part of its slice, or to renew and enlarge an earlier loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Organisation whose limit is needed.
    pub organisation: OrganisationId,
    /// Number that rises with each request of the borrower's incarnation.
    pub sequence: u64,
    /// Rate and capacity that the borrower wants in total from this lender.
    pub share: LimitShare,
    /// Level in nanotokens that the borrower wants in addition to what it has.
    pub amount: u64,
    /// Time of the loan; the lender counts no more than [`crate::LoanTerms::DURATION`].
    pub duration: Duration,
}
