//! Tokens taken for one request.

use crate::{InstanceId, OrganisationId};

/// Bucket that tokens were taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LimitSource {
    /// The instance's own slice.
    Slice,
    /// A loan from this lender.
    Loan(InstanceId),
}

/// Part of a reservation that came from one bucket.
#[derive(Debug)]
pub(crate) struct LimitPart {
    pub(crate) source: LimitSource,
    pub(crate) bucket: u64,
    pub(crate) reservation: u64,
    pub(crate) amount: u64,
}

/// Tokens reserved for one request, to be settled once.
#[derive(Debug)]
#[must_use = "tokens that are not settled are charged in full"]
pub struct LimitReservation {
    pub(crate) organisation: OrganisationId,
    pub(crate) tokens: u64,
    pub(crate) parts: Vec<LimitPart>,
}

impl LimitReservation {
    /// Returns the tokens reserved.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the organisation charged.
    pub fn organisation(&self) -> &OrganisationId {
        &self.organisation
    }
}
