//! Tokens reserved for one request.

use crate::{InstanceId, OrganisationId};

/// Bucket that reserved tokens were taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BucketSource {
    /// Slice that the instance owns as slot holder.
    Slice,
    /// Loan from this lender.
    Loan(InstanceId),
}

/// Part of a reservation that was taken from one bucket.
#[derive(Debug)]
pub(crate) struct ReservationPart {
    pub(crate) source: BucketSource,
    /// Number of the bucket, which distinguishes it from a later bucket of the same source.
    pub(crate) bucket_number: u64,
    /// Number of the reservation within the bucket.
    pub(crate) reservation: u64,
    /// Nanotokens taken.
    pub(crate) amount: u64,
}

/// Tokens reserved for one request, which are settled once when the use is known.
#[derive(Debug)]
#[must_use = "a reservation that is not settled is charged in full"]
pub struct LimitReservation {
    pub(crate) organisation: OrganisationId,
    pub(crate) tokens: u64,
    pub(crate) parts: Vec<ReservationPart>,
}

impl LimitReservation {
    /// Returns the number of tokens reserved.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the organisation whose limit is charged.
    pub fn organisation(&self) -> &OrganisationId {
        &self.organisation
    }
}
