//! Admission within the organisations' rates.
//!
//! A part of each rate is admitted by the instances themselves, by their share of the demand. The
//! shares add up to at most the whole: an instance counts of its own demand only what it has
//! published for longer than a report takes to reach all others, and with it the report of every
//! total in use. While a region is unheard of, no share grows.
//!
//! The rest of each rate is divided evenly among the regions. One instance of each region, the
//! organisation's keeper, holds it as a pool and lends from it for requests that exceed a share:
//! shares of a large fleet are smaller than one request, and the demand at one instance varies
//! far more than that of a region.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use hawthornquay_decisions::{InstanceName, Map, MonotonicTime, OrganisationId};

use crate::{Configuration, DemandHistory, FleetDemand, OrganisationConfig, TokenBucket};

/// Part of an even share that an instance keeps without demand, so that the first requests of an
/// organisation pass before its demand is known.
const IDLE_SHARE: f64 = 0.25;

/// Part of its burst with which a new process begins; the rest may have been spent by the process
/// before it.
const INITIAL_LEVEL: f64 = 0.3;

/// Part of the fleet's slack that the instances use; the rest covers requests that are larger than
/// what a share may hold, and differing views of how many instances there are.
const SLACK_PART: f64 = 0.7;

/// Share with which a process begins that knows no other instance yet.
const UNKNOWN_SHARE: f64 = 0.1;

/// Part of each rate that the shares hold; the pools hold the rest. With 0.45, up to 6% of a usual
/// demand is refused in the test of that load, with 0.2 under 1%; less leaves an instance that is
/// cut off too little.
const SHARES_PART: f64 = 0.2;

/// Part of the burst and of the slack that the shares hold. A share mostly covers small requests,
/// and a pool has to hold several of the largest.
const SHARES_BURST_PART: f64 = 0.15;

/// Longest time for which a keeper that refused is not asked again for as much.
const LONGEST_REFUSAL: Duration = Duration::from_millis(300);

/// Part of its capacity with which a pool begins, at which it lends to requests of any size.
const INITIAL_POOL: f64 = 0.5;

/// Time during which the lowest known demand of the fleet counts. What instances count of their own
/// was published before all of that time, so their shares still add up to at most the whole.
const TOTAL_MEMORY: Duration = Duration::from_millis(600);

/// Refusal of a request that exceeds its organisation's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Time after which the share would allow the request.
    pub retry_after: Duration,
    /// Share of the organisation's rate that this instance admits, from 0 to 1.
    pub share: f64,
    /// Instances among which the rate is shared; zero while they are unknown.
    pub instances: usize,
}

struct Account {
    terms: Arc<OrganisationConfig>,
    bucket: TokenBucket,
    demand: DemandHistory,
    totals: VecDeque<(MonotonicTime, f64)>,
    share: f64,
    /// Slack of the share, in tokens.
    slack: f64,
    /// Pool of the own region, once this instance was asked as its keeper.
    pool: Option<TokenBucket>,
    /// Keepers that refused, until when, and how many tokens.
    refusals: Map<InstanceName, (MonotonicTime, u64)>,
}

/// Admission of requests within the rates of their organisations.
pub struct OrganisationLimits {
    accounts: Map<OrganisationId, Account>,
    instances: usize,
    /// Slack of the fleet, in tokens.
    slack: f64,
    regions: usize,
}

impl OrganisationLimits {
    /// Builds the admission of a fleet in `regions` regions that may exceed each organisation's
    /// burst by `slack` tokens.
    pub fn new(slack: u64, regions: usize) -> Self {
        Self {
            accounts: Map::default(),
            instances: 0,
            slack: slack as f64 * SLACK_PART,
            regions: regions.max(1),
        }
    }

    /// Takes over the rates of a configuration.
    pub fn configure(&mut self, now: MonotonicTime, configuration: &Configuration) {
        self.accounts
            .retain(|id, _| configuration.organisations.contains_key(id));
        let (share, slack) = match self.instances {
            0 => (UNKNOWN_SHARE, 0.0),
            instances => (1.0 / instances as f64, self.slack / instances as f64),
        };
        for (id, terms) in &configuration.organisations {
            match self.accounts.get_mut(id) {
                Some(account) => {
                    account.terms = terms.clone();
                    account.apply_share(now);
                }
                None => {
                    let account = Account::new(now, terms.clone(), share, slack);
                    self.accounts.insert(id.clone(), account);
                }
            }
        }
    }

    /// Returns this instance's share of the rate of an organisation, from 0 to 1.
    pub fn share(&self, id: &OrganisationId) -> Option<f64> {
        self.accounts.get(id).map(|account| account.share)
    }

    /// Admits a request of `tokens` by the own share.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitRefusal`] if the share does not hold the tokens now; a pool may.
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
        if account.terms.rate == 0 {
            return Ok(());
        }
        let spent = account.bucket.spend_available(now, tokens as f64);
        account.refused(spent, self.instances)
    }

    /// Admits a request of `tokens` by the own share while no pool can be reached.
    ///
    /// A request that is larger than the share may leave a debt.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitRefusal`] if the share does not allow it now.
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
        account.refused(spent, self.instances)
    }

    /// Lends `tokens` from the pool of the own region for one request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the pool would lend them.
    pub fn lend(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        tokens: u64,
    ) -> Result<(), Duration> {
        let (slack, regions) = (self.slack, self.regions as f64);
        let Some(account) = self.accounts.get_mut(id) else {
            return Err(LONGEST_REFUSAL);
        };
        let rate = account.terms.rate as f64 * (1.0 - SHARES_PART) / regions;
        let burst = account.terms.burst.max(1) as f64 + slack;
        let capacity = burst * (1.0 - SHARES_BURST_PART) / regions;
        let pool = account
            .pool
            .get_or_insert_with(|| TokenBucket::new(now, rate, capacity, capacity * INITIAL_POOL));
        pool.set_limits(now, rate, capacity);
        pool.spend_with_debt(now, tokens as f64)
    }

    /// Returns how long a keeper that refused a loan is not to be asked for `tokens`.
    pub fn loan_backoff(
        &self,
        now: MonotonicTime,
        id: &OrganisationId,
        keeper: &InstanceName,
        tokens: u64,
    ) -> Option<Duration> {
        let (until, refused) = self.accounts.get(id)?.refusals.get(keeper)?;
        (now < *until && tokens >= *refused).then(|| until.since(now))
    }

    /// Notes that a keeper refused to lend `tokens` until `retry_after` has passed.
    pub fn record_loan_refusal(
        &mut self,
        now: MonotonicTime,
        id: &OrganisationId,
        keeper: &InstanceName,
        tokens: u64,
        retry_after: Duration,
    ) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.refusals.retain(|_, (until, _)| now < *until);
            let until = now + retry_after.min(LONGEST_REFUSAL);
            account.refusals.insert(keeper.clone(), (until, tokens));
        }
    }

    /// Gives back the tokens of a request that was not run.
    pub fn refund(&mut self, id: &OrganisationId, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.bucket.refund(tokens as f64);
        }
    }

    /// Returns the demand at this instance in tokens a second, to be told to the others.
    pub fn publish_demand(&mut self, now: MonotonicTime) -> Vec<(OrganisationId, f64)> {
        self.accounts
            .iter_mut()
            .map(|(id, account)| (id.clone(), account.demand.publish(now)))
            .filter(|(_, rate)| *rate >= 1.0)
            .collect()
    }

    /// Adapts the shares to the demand over the fleet.
    pub fn update_shares(&mut self, now: MonotonicTime, fleet: &FleetDemand) {
        let first = self.instances == 0;
        self.instances = fleet.instances.max(1);
        for (id, account) in &mut self.accounts {
            account.slack = self.slack / self.instances as f64;
            let total = fleet.totals.get(id).copied().unwrap_or(0.0);
            account.adapt(now, total, self.instances, fleet.complete, first);
        }
    }
}

impl Account {
    fn new(now: MonotonicTime, terms: Arc<OrganisationConfig>, share: f64, slack: f64) -> Self {
        let bucket = TokenBucket::new(now, 0.0, 0.0, 0.0);
        let mut account = Self {
            terms,
            bucket,
            demand: DemandHistory::default(),
            totals: VecDeque::new(),
            share,
            slack,
            pool: None,
            refusals: Map::default(),
        };
        let (rate, capacity) = account.share_terms();
        account.bucket = TokenBucket::new(now, rate, capacity, capacity * INITIAL_LEVEL);
        account
    }

    fn refused(&self, spent: Result<(), Duration>, instances: usize) -> Result<(), LimitRefusal> {
        spent.map_err(|retry_after| LimitRefusal {
            retry_after,
            share: self.share,
            instances,
        })
    }

    fn adapt(
        &mut self,
        now: MonotonicTime,
        total: f64,
        instances: usize,
        complete: bool,
        first: bool,
    ) {
        self.totals.push_back((now, total));
        while self
            .totals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > TOTAL_MEMORY)
        {
            self.totals.pop_front();
        }
        let lowest = self
            .totals
            .iter()
            .map(|(_, total)| *total)
            .fold(f64::INFINITY, f64::min);
        let idle = IDLE_SHARE * self.terms.rate as f64 / instances as f64;
        let own = self.demand.lowest_published();
        let whole = lowest.max(own) + idle * instances as f64;
        if whole <= 0.0 {
            return;
        }
        let share = (own + idle) / whole;
        // Shares that others hold are unknown while a region is silent.
        self.share = if complete || first {
            share
        } else {
            share.min(self.share)
        };
        self.apply_share(now);
    }

    fn apply_share(&mut self, now: MonotonicTime) {
        let (rate, capacity) = self.share_terms();
        self.bucket.set_limits(now, rate, capacity);
    }

    /// Returns the tokens a second and the capacity of the share.
    fn share_terms(&self) -> (f64, f64) {
        let rate = self.terms.rate as f64 * self.share * SHARES_PART;
        let burst = self.terms.burst.max(1) as f64 * self.share + self.slack;
        (rate, burst * SHARES_BURST_PART)
    }
}
