//! Answer to a loan request.

use crate::{LimitShare, OrganisationId};

/// Answer of a lender; a grant of zero refuses the loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// Organisation of the request.
    pub organisation: OrganisationId,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Rate and capacity that the borrower now holds from this lender in total; zero if refused.
    pub share: LimitShare,
    /// Nanotokens that the lender withdrew from its bucket for the borrower.
    pub amount: u64,
}
