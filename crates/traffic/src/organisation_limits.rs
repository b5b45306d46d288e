//! Fleet-wide rate limits of organisations.
//!
//! Part of each rate is divided among the instances as shares in proportion to their demand, and
//! each instance admits requests within its share by itself. The shares add up to at most 1,
//! because the total demand from which each instance computes its share includes the demand that
//! the others count. To ensure this, an instance counts its own demand only after the time that its
//! report takes to reach all other instances. While the report of a region is missing, no share
//! grows.
//!
//! The rest of each rate is divided evenly among the regions as pools. In each region one instance
//! owns the organisation's pool and lends from it for requests that exceed a share. Pools are
//! needed because the shares in a large fleet are smaller than a single request, and because the
//! demand at one instance varies far more than the demand of a region. The owner of a pool that
//! runs low takes tokens from the pools of other regions that have more than they need, before its
//! own is empty: the regions have their peaks at different times.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hawthornquay_decisions::{InstanceName, Map, MonotonicTime, OrganisationId};

use crate::{Configuration, DemandHistory, FleetDemand, OrganisationConfig, TokenBucket};

/// Share that an instance without demand keeps, as a fraction of an even share, so that the first
/// requests of an organisation are admitted before its demand has been reported.
const IDLE_SHARE_FRACTION: f64 = 0.25;

/// Initial level of a share's bucket, as a fraction of its capacity. The rest may have been spent
/// by the previous process of this instance.
const INITIAL_SHARE_LEVEL: f64 = 0.3;

/// Fraction of the slack, by which the fleet may exceed a burst, that the shares and pools use. The
/// rest covers requests that are larger than the capacity of a share, and differing views of the
/// number of instances.
const USED_SLACK_FRACTION: f64 = 0.7;

/// Share of the rate that a new process assumes before it has the list of instances.
const INITIAL_SHARE: f64 = 0.1;

/// Fraction of each rate that is divided into shares; the pools get the rest. Under usual demand, a
/// fraction of 0.45 refuses up to 6% of the demand, and a fraction of 0.2 refuses less than 1%. A
/// lower fraction leaves too little to an instance that is cut off from the pools.
const SHARES_RATE_FRACTION: f64 = 0.2;

/// Fraction of the burst and of the slack that is divided into shares. A share mostly admits small
/// requests, while a pool needs capacity for several of the largest ones.
const SHARES_BURST_FRACTION: f64 = 0.15;

/// Maximum backoff after a pool owner refused a loan, for loans of as many tokens or more.
const MAX_LOAN_BACKOFF: Duration = Duration::from_millis(300);

/// Initial level of a pool, as a fraction of its capacity. Half the capacity is enough to lend to
/// requests of any size, because a pool may go into debt.
const INITIAL_POOL_LEVEL: f64 = 0.5;

/// Level of a pool, as a share of its capacity, below which its owner asks other regions for tokens.
const LOW_POOL_LEVEL: f64 = 0.6;

/// Level that a pool keeps when it transfers tokens to another region, as a share of its capacity.
const MIN_LEVEL_AFTER_TRANSFER: f64 = 0.5;

/// Minimum transfer, as a share of the lending pool's capacity.
const MIN_TRANSFER_SHARE: f64 = 0.02;

/// Minimum time between two requests of a pool for tokens of other regions.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100);

/// Window over which the lowest reported total demand of the fleet is used. An instance counts its
/// own demand only once every total in this window includes it, so that the shares still add up to
/// at most 1.
const FLEET_DEMAND_WINDOW: Duration = Duration::from_millis(600);

/// Refusal of a request that exceeds its organisation's share at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Time after which the share would admit the request.
    pub retry_after: Duration,
    /// This instance's share of the organisation's rate, from 0 to 1.
    pub share: f64,
    /// Number of instances that share the rate; zero while it is unknown.
    pub instances: usize,
}

/// State of one organisation's limit at this instance.
struct Account {
    config: Arc<OrganisationConfig>,
    bucket: TokenBucket,
    demand: DemandHistory,
    /// Recent totals of the organisation's demand across the fleet, in tokens per second.
    totals: VecDeque<(MonotonicTime, f64)>,
    /// Share of the rate, from 0 to 1.
    share: f64,
    /// Tokens by which this instance's share may exceed its part of the burst.
    slack: f64,
    /// Pool of the local region, of use while this instance owns it.
    pool: Option<TokenBucket>,
    /// Time from which the pool may ask other regions for tokens again.
    next_transfer_at: MonotonicTime,
    /// For each pool owner that refused a loan, the end of its backoff and the number of tokens
    /// that it refused.
    loan_refusals: Map<InstanceName, (MonotonicTime, u64)>,
}

/// Admission of requests within the rate limits of their organisations.
pub struct OrganisationLimits {
    accounts: Map<OrganisationId, Account>,
    /// Number of instances in the fleet; zero while it is unknown.
    instances: usize,
    /// Tokens by which the shares and pools of the fleet together may exceed a burst.
    slack: f64,
    regions: usize,
}

impl OrganisationLimits {
    /// Builds the limits for a fleet in `regions` regions. The fleet may exceed each organisation's
    /// burst by `slack` tokens.
    pub fn new(slack: u64, regions: usize) -> Self {
        Self {
            accounts: Map::default(),
            instances: 0,
            slack: slack as f64 * USED_SLACK_FRACTION,
            regions: regions.max(1),
        }
    }

    /// Applies the rates of a configuration, and drops organisations that it no longer has.
    pub fn configure(&mut self, now: MonotonicTime, configuration: &Configuration) {
        self.accounts
            .retain(|id, _| configuration.organisations.contains_key(id));
        let (share, slack) = match self.instances {
            0 => (INITIAL_SHARE, 0.0),
            instances => (1.0 / instances as f64, self.slack / instances as f64),
        };
        for (id, config) in &configuration.organisations {
            match self.accounts.get_mut(id) {
                Some(account) => {
                    account.config = config.clone();
                    account.apply_share(now);
                }
                None => {
                    let account = Account::new(now, config.clone(), share, slack);
                    self.accounts.insert(id.clone(), account);
                    // The pool fills from now on, whether or not this instance owns it already.
                    self.pool(now, id);
                }
            }
        }
    }

    /// Returns this instance's share of an organisation's rate, from 0 to 1, or `None` for an
    /// unknown organisation.
    pub fn share(&self, id: &OrganisationId) -> Option<f64> {
        self.accounts.get(id).map(|account| account.share)
    }

    /// Admits a request of `tokens` from this instance's share.
    ///
    /// Requests of unknown organisations and of organisations without a limit are always admitted.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitRefusal`] if the share has too few tokens now; a pool may still lend them.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        tokens: u64,
    ) -> Result<(), LimitRefusal> {
        let Some(account) = self.accounts.get_mut(id) else {
            return Ok(());
        };
        account.demand.record(now, tokens as f64);
        if account.config.rate == 0 {
            return Ok(());
        }
        let spent = account.bucket.spend_available(now, tokens as f64);
        account.to_refusal(spent, self.instances)
    }

    /// Admits a request of `tokens` from this instance's share when no pool is reachable.
    ///
    /// A request that is larger than the share can put the share's bucket into debt.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitRefusal`] if the share does not admit the request now.
    pub fn admit_without_pool(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        tokens: u64,
    ) -> Result<(), LimitRefusal> {
        let Some(account) = self.accounts.get_mut(id) else {
            return Ok(());
        };
        let spent = account.bucket.spend_with_debt(now, tokens as f64);
        account.to_refusal(spent, self.instances)
    }

    /// Lends `tokens` for one request from the pool of the local region, which this instance owns.
    ///
    /// # Errors
    ///
    /// Returns the time after which the pool would lend the tokens.
    pub fn lend(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        tokens: u64,
    ) -> Result<(), Duration> {
        self.pool(now, id)
            .ok_or(MAX_LOAN_BACKOFF)?
            .spend_with_debt(now, tokens as f64)
    }

    /// Returns the number of tokens that this instance, as the owner of the local region's pool, is
    /// to ask other regions for because the pool runs low; `None` if it need not.
    ///
    /// After a request for tokens, the next one is due after a minimum time.
    pub fn tokens_to_transfer(&mut self, now: MonotonicTime, id: &OrganisationId) -> Option<u64> {
        if now < self.accounts.get(id)?.next_transfer_at {
            return None;
        }
        let pool = self.pool(now, id)?;
        let fill_share = pool.fill_share(now);
        let missing = (pool.capacity() * (1.0 - fill_share)) as u64;
        if fill_share >= LOW_POOL_LEVEL || missing == 0 {
            return None;
        }
        self.accounts.get_mut(id)?.next_transfer_at = now + TRANSFER_INTERVAL;
        Some(missing)
    }

    /// Takes up to `tokens` from the pool of the local region, which this instance owns, for the
    /// pool of another region, and returns how many; zero if the pool has none to spare.
    pub fn take_for_transfer(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        tokens: u64,
    ) -> u64 {
        let Some(pool) = self.pool(now, id) else {
            return 0;
        };
        let surplus = pool.capacity() * (pool.fill_share(now) - MIN_LEVEL_AFTER_TRANSFER);
        if surplus < pool.capacity() * MIN_TRANSFER_SHARE {
            return 0;
        }
        let taken = (surplus as u64).min(tokens);
        match pool.spend_available(now, taken as f64) {
            Ok(()) => taken,
            Err(_) => 0,
        }
    }

    /// Adds tokens that another region's pool has transferred to the pool of the local region.
    pub fn add_transferred(&mut self, now: MonotonicTime, id: &OrganisationId, tokens: u64) {
        if let Some(pool) = self.pool(now, id) {
            pool.refund(tokens as f64);
        }
    }

    /// Returns the pool of the local region, with the limits in force; `None` for an unknown
    /// organisation.
    fn pool(&mut self, now: MonotonicTime, id: &OrganisationId) -> Option<&mut TokenBucket> {
        let (slack, regions) = (self.slack, self.regions as f64);
        let account = self.accounts.get_mut(id)?;
        let rate = account.config.rate as f64 * (1.0 - SHARES_RATE_FRACTION) / regions;
        let burst = account.config.burst.max(1) as f64 + slack;
        let capacity = burst * (1.0 - SHARES_BURST_FRACTION) / regions;
        let pool = account.pool.get_or_insert_with(|| {
            TokenBucket::new(now, rate, capacity, capacity * INITIAL_POOL_LEVEL)
        });
        pool.set_limits(now, rate, capacity);
        Some(pool)
    }

    /// Returns the remaining backoff of `owner` for a loan of `tokens`, or `None` if it may be
    /// asked now.
    ///
    /// The backoff applies to loans of at least as many tokens as `owner` has refused.
    pub fn loan_backoff(
        &self,
        now: MonotonicTime,
        id: &OrganisationId,
        owner: &InstanceName,
        tokens: u64,
    ) -> Option<Duration> {
        let (until, refused) = self.accounts.get(id)?.loan_refusals.get(owner)?;
        (now < *until && tokens >= *refused).then(|| until.since(now))
    }

    /// Records that `owner` refused to lend `tokens` until `retry_after` has passed.
    pub fn record_loan_refusal(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        owner: &InstanceName,
        tokens: u64,
        retry_after: Duration,
    ) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.loan_refusals.retain(|_, (until, _)| now < *until);
            let until = now + retry_after.min(MAX_LOAN_BACKOFF);
            account.loan_refusals.insert(owner.clone(), (until, tokens));
        }
    }

    /// Refunds the tokens of a request that was not run to this instance's share.
    pub fn refund(&mut self, id: &OrganisationId, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.bucket.refund(tokens as f64);
        }
    }

    /// Returns the demand of each organisation at this instance, in tokens per second, to be sent
    /// to the other instances. Demand below one token per second is left out.
    pub fn publish_demand(&mut self, now: MonotonicTime) -> Vec<(OrganisationId, f64)> {
        self.accounts
            .iter_mut()
            .map(|(id, account)| (id.clone(), account.demand.publish(now)))
            .filter(|(_, rate)| *rate >= 1.0)
            .collect()
    }

    /// Updates the shares from the demand across the fleet.
    pub fn update_shares(&mut self, now: MonotonicTime, fleet: &FleetDemand) {
        let first_update = self.instances == 0;
        self.instances = fleet.instances.max(1);
        for (id, account) in &mut self.accounts {
            account.slack = self.slack / self.instances as f64;
            let total = fleet.totals.get(id).copied().unwrap_or(0.0);
            account.update_share(now, total, self.instances, fleet.complete, first_update);
        }
    }
}

impl Account {
    fn new(now: MonotonicTime, config: Arc<OrganisationConfig>, share: f64, slack: f64) -> Self {
        let bucket = TokenBucket::new(now, 0.0, 0.0, 0.0);
        let mut account = Self {
            config,
            bucket,
            demand: DemandHistory::default(),
            totals: VecDeque::new(),
            share,
            slack,
            pool: None,
            next_transfer_at: MonotonicTime(0),
            loan_refusals: Map::default(),
        };
        let (rate, capacity) = account.share_limits();
        account.bucket = TokenBucket::new(now, rate, capacity, capacity * INITIAL_SHARE_LEVEL);
        account
    }

    /// Converts the error of a bucket into a refusal that states the share.
    fn to_refusal(
        &self,
        spent: Result<(), Duration>,
        instances: usize,
    ) -> Result<(), LimitRefusal> {
        spent.map_err(|retry_after| LimitRefusal {
            retry_after,
            share: self.share,
            instances,
        })
    }

    fn update_share(
        &mut self,
        now: MonotonicTime,
        total: f64,
        instances: usize,
        complete: bool,
        first_update: bool,
    ) {
        self.totals.push_back((now, total));
        while self
            .totals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > FLEET_DEMAND_WINDOW)
        {
            self.totals.pop_front();
        }
        let lowest = self
            .totals
            .iter()
            .map(|(_, total)| *total)
            .fold(f64::INFINITY, f64::min);
        let idle = IDLE_SHARE_FRACTION * self.config.rate as f64 / instances as f64;
        let own_demand = self.demand.lowest_published();
        let fleet_demand = lowest.max(own_demand) + idle * instances as f64;
        if fleet_demand <= 0.0 {
            return;
        }
        let share = (own_demand + idle) / fleet_demand;
        // While the report of a region is missing, the shares of its instances are unknown, so this
        // share must not grow.
        self.share = if complete || first_update {
            share
        } else {
            share.min(self.share)
        };
        self.apply_share(now);
    }

    fn apply_share(&mut self, now: MonotonicTime) {
        let (rate, capacity) = self.share_limits();
        self.bucket.set_limits(now, rate, capacity);
    }

    /// Returns the rate of this instance's share, in tokens per second, and its capacity in tokens.
    fn share_limits(&self) -> (f64, f64) {
        let rate = self.config.rate as f64 * self.share * SHARES_RATE_FRACTION;
        let burst = self.config.burst.max(1) as f64 * self.share + self.slack;
        (rate, burst * SHARES_BURST_FRACTION)
    }
}
