//! Share of an organisation's rate and burst.

use crate::{DomainName, FailureDomain, Map, Organisation};

/// Rate and capacity of a token bucket.
///
/// A rate of one millitoken per second adds one nanotoken per microsecond, so that accrual is exact
/// in integer arithmetic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitShare {
    /// Rate in millitokens per second.
    pub rate: u64,
    /// Capacity in nanotokens.
    pub capacity: u64,
}

impl LimitShare {
    /// Number of nanotokens in one token.
    pub const NANOTOKENS_PER_TOKEN: u64 = 1_000_000_000;

    /// Number of millitokens in one token.
    pub const MILLITOKENS_PER_TOKEN: u64 = 1_000;

    /// Returns an organisation's rate and burst over the whole fleet.
    pub fn fleet_wide(organisation: &Organisation) -> Self {
        Self {
            rate: organisation
                .rate
                .saturating_mul(Self::MILLITOKENS_PER_TOKEN),
            capacity: organisation
                .burst
                .saturating_mul(Self::NANOTOKENS_PER_TOKEN),
        }
    }

    /// Returns the share of `domain` in proportion to its limit weight.
    ///
    /// Failure domains in regions that the residency excludes get nothing. The shares of all
    /// failure domains add up to [`Self::fleet_wide`] exactly, unless all their weights are zero.
    pub fn of_domain(
        organisation: &Organisation,
        domain: &DomainName,
        domains: &Map<DomainName, FailureDomain>,
    ) -> Self {
        let mut allowed: Vec<&FailureDomain> = domains
            .values()
            .filter(|entry| organisation.residency.allows(&entry.region))
            .collect();
        allowed.sort_by(|a, b| a.name.cmp(&b.name));
        let sum: u128 = allowed
            .iter()
            .map(|entry| u128::from(entry.limit_weight))
            .sum();
        let mut below = 0_u128;
        for entry in allowed {
            let above = below + u128::from(entry.limit_weight);
            if entry.name == *domain && sum > 0 {
                let whole = Self::fleet_wide(organisation);
                return Self {
                    rate: portion(whole.rate, below, above, sum),
                    capacity: portion(whole.capacity, below, above, sum),
                };
            }
            below = above;
        }
        Self::default()
    }

    /// Returns the minimum of the rates and the minimum of the capacities.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
        }
    }

    /// Returns the sums of the rates and of the capacities, each limited to `u64::MAX`.
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            capacity: self.capacity.saturating_add(other.capacity),
        }
    }

    /// Returns the differences of the rates and of the capacities, or zero where `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            capacity: self.capacity.saturating_sub(other.capacity),
        }
    }

    /// Returns whether neither the rate nor the capacity exceeds that of `other`.
    pub fn fits_in(self, other: Self) -> bool {
        self.rate <= other.rate && self.capacity <= other.capacity
    }
}

/// Returns the part of `whole` from the cumulative weight `below` to `above`, out of `sum`.
fn portion(whole: u64, below: u128, above: u128, sum: u128) -> u64 {
    let cut = |weight: u128| u128::from(whole).saturating_mul(weight) / sum;
    u64::try_from(cut(above) - cut(below)).unwrap_or(u64::MAX)
}
