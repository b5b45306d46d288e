//! Answer to a loan request.

use crate::{LimitShare, OrganisationId};

/// Grants a loan, which may be nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// Organisation of the request.
    pub organisation: OrganisationId,
    /// Number of the request.
    pub sequence: u64,
    /// Rate and capacity that the borrower holds from this lender in total; zero means refused.
    pub share: LimitShare,
    /// Level in nanotokens that the lender debited for this grant.
    pub amount: u64,
}
