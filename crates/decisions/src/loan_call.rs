//! Loan request with its recipient.

use crate::{DomainName, InstanceId, LoanRequest};

/// Loan request to send to a slot holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanCall {
    /// Slot holder that receives the request.
    pub lender: InstanceId,
    /// Failure domain of the lender.
    pub domain: DomainName,
    /// Request to send.
    pub request: LoanRequest,
}
