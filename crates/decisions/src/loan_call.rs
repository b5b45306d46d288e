//! Loan request with its receiver.

use crate::{DomainName, InstanceId, LoanRequest};

/// Loan request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanCall {
    /// Slot holder to ask.
    pub lender: InstanceId,
    /// Failure domain of the lender.
    pub domain: DomainName,
    /// Request to send.
    pub request: LoanRequest,
}
