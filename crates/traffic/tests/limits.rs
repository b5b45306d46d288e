//! Rate limits: organisations get neither more nor less than their rate across the fleet.

mod common;

use std::time::Duration;

use common::{at, configuration};
use hawthornquay_decisions::{Map, OrganisationId};
use hawthornquay_traffic::{FleetDemand, OrganisationLimits, TokenBucket};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Interval at which instances publish their demand, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 300;

/// Number of regions. Instance n is in region n % 3, and instances 0 to 2 own the pools.
const REGIONS: usize = 3;

fn organisation() -> OrganisationId {
    OrganisationId::new("o")
}

/// Instances whose published demand reaches the others `delay` status intervals later.
struct Fleet {
    limits: Vec<OrganisationLimits>,
    /// Demand that each instance published in each status interval.
    published: Vec<Vec<f64>>,
    delay: usize,
    now_ms: u64,
}

impl Fleet {
    fn new(instances: usize, rate: u64, slack: u64, delay: usize) -> Self {
        let mut limits: Vec<_> = (0..instances)
            .map(|_| OrganisationLimits::new(slack, REGIONS))
            .collect();
        for limit in &mut limits {
            let fleet = FleetDemand {
                instances,
                complete: true,
                totals: Map::default(),
            };
            limit.update_shares(at(0), &fleet);
            limit.configure(at(0), &configuration(rate, rate));
        }
        Self {
            limits,
            published: Vec::new(),
            delay,
            now_ms: 0,
        }
    }

    /// Returns whether a request at an instance is admitted, from its share or from a region's
    /// pool.
    fn admit(&mut self, index: usize, ms: u64, size: u64) -> bool {
        let (time, id) = (at(ms), organisation());
        self.limits[index].admit(time, &id, size).is_ok()
            || (0..REGIONS).any(|n| {
                let owner = (index + n) % REGIONS;
                self.limits[owner].lend(time, &id, size).is_ok()
            })
    }

    /// Runs one status interval in which instance n receives `requests[n]` requests of `size`
    /// tokens, and returns the tokens admitted.
    fn run_interval(&mut self, requests: &[u32], size: u64) -> f64 {
        let mut admitted = 0.0;
        for (index, count) in requests.iter().enumerate() {
            for n in 0..*count {
                let time = self.now_ms + u64::from(n) * STATUS_INTERVAL_MS / u64::from(*count);
                if self.admit(index, time, size) {
                    admitted += size as f64;
                }
            }
        }
        self.exchange_demand();
        admitted
    }

    /// Ends a status interval: the instances publish their demand and update their shares.
    fn exchange_demand(&mut self) {
        self.now_ms += STATUS_INTERVAL_MS;
        let time = at(self.now_ms);
        let own: Vec<f64> = self
            .limits
            .iter_mut()
            .map(|limit| {
                limit
                    .publish_demand(time)
                    .first()
                    .map_or(0.0, |(_, rate)| *rate)
            })
            .collect();
        self.published.push(own.clone());
        let received = self.published.len().saturating_sub(self.delay + 1);
        for (index, limit) in self.limits.iter_mut().enumerate() {
            let total: f64 = self.published[received]
                .iter()
                .enumerate()
                .map(|(other, rate)| if other == index { own[index] } else { *rate })
                .sum();
            let fleet = FleetDemand {
                instances: self.published[received].len(),
                complete: true,
                totals: [(organisation(), total)].into_iter().collect(),
            };
            limit.update_shares(time, &fleet);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The shares exceed the rate if each instance counts a rise of its own demand before the
    /// others have received it. The bound per window is that of the deployments, but with zero
    /// slack.
    #[test]
    fn shares_with_shifting_demand_stay_within_the_rate(
        demands in prop::collection::vec(prop::collection::vec(0_u32..30, 9), 60),
        delay in 0_usize..4,
    ) {
        let rate = 40_000;
        let mut fleet = Fleet::new(9, rate, 0, delay);
        let admitted: Vec<f64> =
            demands.iter().map(|requests| fleet.run_interval(requests, 400)).collect();
        let window_len = 27;
        for window in admitted.windows(window_len) {
            let seconds = (window_len as u64 * STATUS_INTERVAL_MS) as f64 / 1_000.0;
            let allowed = rate as f64 * (seconds + 1.0) * 1.1;
            prop_assert!(window.iter().sum::<f64>() <= allowed, "{:?}", window);
        }
    }
}

/// An organisation that suddenly sends seven times its rate at all instances must get its rate, but
/// no more.
#[test]
fn shares_of_overloading_organisation_match_its_rate() {
    let rate = 40_000;
    let mut fleet = Fleet::new(9, rate, 0, 2);
    let admitted: Vec<f64> = (0..60).map(|_| fleet.run_interval(&[23; 9], 400)).collect();
    let total: f64 = admitted.iter().sum();
    let seconds = 60.0 * STATUS_INTERVAL_MS as f64 / 1_000.0;
    assert!(total <= rate as f64 * (seconds + 1.0) * 1.1, "{total}");
    assert!(total >= rate as f64 * seconds * 0.85, "{total}");
}

/// Requests within the rate must not be refused after the demand has moved to other instances.
#[test]
fn shares_follow_moving_demand_within_seconds() {
    let mut fleet = Fleet::new(9, 40_000, 0, 2);
    let before = [8, 8, 8, 0, 0, 0, 0, 0, 0];
    let after = [0, 0, 0, 0, 0, 0, 8, 8, 8];
    for _ in 0..20 {
        fleet.run_interval(&before, 400);
    }
    for _ in 0..12 {
        fleet.run_interval(&after, 400);
    }
    let offered = f64::from(8 * 3) * 400.0;
    let admitted = fleet.run_interval(&after, 400);
    assert!(
        admitted >= offered * 0.95,
        "{admitted} tokens admitted of {offered}"
    );
}

/// While a region sends no report, its instances may still use their shares, so no share may grow.
#[test]
fn update_shares_without_report_of_a_region_does_not_raise_share() {
    let mut limits = OrganisationLimits::new(0, REGIONS);
    let mut fleet = FleetDemand {
        instances: 9,
        complete: true,
        totals: [(organisation(), 30_000.0)].into_iter().collect(),
    };
    limits.update_shares(at(0), &fleet);
    limits.configure(at(0), &configuration(40_000, 40_000));
    limits.update_shares(at(300), &fleet);
    let before = limits.share(&organisation()).unwrap();
    fleet.complete = false;
    fleet.totals.clear();
    for round in 0..20 {
        let time = at(600 + round * STATUS_INTERVAL_MS);
        let _ = limits.admit(time, &organisation(), 20_000);
        limits.publish_demand(time);
        limits.update_shares(time, &fleet);
    }
    assert!(limits.share(&organisation()).unwrap() <= before);
}

/// A new process must not spend the whole rate before it has the list of instances.
#[test]
fn configure_without_instance_list_assumes_small_share() {
    let mut limits = OrganisationLimits::new(140_000, REGIONS);
    limits.configure(at(0), &configuration(100_000, 100_000));
    let spent = (0..1_000)
        .filter(|_| limits.admit(at(0), &organisation(), 100).is_ok())
        .count();
    assert!(spent * 100 <= 10_000, "{spent}");
}

/// A request larger than the share must be admitted, also at an instance that reaches no pool.
/// Otherwise a small organisation on a large fleet would get nothing.
#[test]
fn admit_request_above_share_uses_slack() {
    let mut fleet = Fleet::new(9, 36_000, 140_000, 2);
    assert!(fleet.admit(4, 3_000, 12_000));
    let without_pool = fleet.limits[5].admit_without_pool(at(3_000), &organisation(), 12_000);
    assert_eq!(without_pool, Ok(()));
}

/// An organisation that uses 55% of its rate must have less than 1% of its tokens refused, with the
/// deployments' mix of long and short requests, on the smallest and the largest fleet.
#[test]
fn pools_admit_usual_demand() {
    for (instances, rate) in [(9, 36_000_u64), (9, 200_000), (65, 72_000), (65, 500_000)] {
        let mut random = StdRng::seed_from_u64(20_261_204);
        let mut fleet = Fleet::new(instances, rate, 140_000, 2);
        // One request in five is long, as specified for the deployments.
        let mean = 12_500.0 * 0.2 + 2_400.0 * 0.8;
        let chance = rate as f64 * 0.55 / mean * 0.001;
        let (mut offered, mut refused) = (0.0, 0.0);
        for ms in 0..60_000 {
            if ms % STATUS_INTERVAL_MS == 0 {
                fleet.exchange_demand();
            }
            if random.random_bool(chance) {
                let size = if random.random_bool(0.2) {
                    12_500
                } else {
                    2_400
                };
                let index = random.random_range(0..instances);
                offered += size as f64;
                if !fleet.admit(index, ms, size) {
                    refused += size as f64;
                }
            }
        }
        let refused_share = refused / offered;
        assert!(
            refused_share < 0.01,
            "{instances} instances, {rate} tokens/s: share refused {refused_share:.3}"
        );
    }
}

/// A cost above the capacity must be admitted once the bucket is half full, and must be charged in
/// full.
#[test]
fn spend_with_debt_above_capacity_leaves_debt() {
    let mut bucket = TokenBucket::new(at(0), 10.0, 100.0, 30.0);
    assert_eq!(
        bucket.spend_with_debt(at(0), 300.0),
        Err(Duration::from_secs(2))
    );
    assert_eq!(bucket.spend_with_debt(at(2_000), 300.0), Ok(()));
    assert_eq!(
        bucket.spend_with_debt(at(2_000), 10.0),
        Err(Duration::from_secs(26))
    );
}

/// The debts of many instances add up when all 65 instances of the largest fleet get seven times
/// the organisation's rate at once, in requests larger than a share. The total must stay within the
/// bound of the deployments: the rate plus a tenth, plus 140,000 tokens.
#[test]
fn shares_of_overloading_organisation_with_large_requests_stay_within_bound() {
    let (rate, size) = (500_000, 12_500);
    let mut fleet = Fleet::new(65, rate, 140_000, 2);
    for _ in 0..30 {
        let low_demand: Vec<u32> = (0..65).map(|n| u32::from(n % 9 == 0)).collect();
        fleet.run_interval(&low_demand, size);
    }
    let admitted: Vec<f64> = (0..60)
        .map(|_| fleet.run_interval(&[2; 65], size))
        .collect();
    for window in admitted.windows(27) {
        let seconds = (27 * STATUS_INTERVAL_MS) as f64 / 1_000.0;
        let allowed = rate as f64 * (seconds + 1.0) * 1.1 + 140_000.0;
        let sum: f64 = window.iter().sum();
        assert!(sum <= allowed, "{sum} tokens admitted of {allowed} allowed");
    }
}

/// Plays one pool in each of three regions for `seconds`, with requests of 1,000 tokens and the
/// given requests per second in each region, and returns how many were admitted and refused.
///
/// A transfer of tokens between two pools takes 110 ms.
fn play_pools(seconds: u64, per_s: [u64; 3]) -> (u64, u64) {
    const REQUEST_TOKENS: u64 = 1_000;
    const TRANSFER_MS: u64 = 110;
    let id = OrganisationId::new("o");
    let mut owners: Vec<OrganisationLimits> = (0..3)
        .map(|_| {
            let mut limits = OrganisationLimits::new(0, 3);
            limits.configure(at(0), &configuration(100_000, 50_000));
            limits
        })
        .collect();
    let mut transfers: Vec<(u64, usize, u64)> = Vec::new();
    let (mut admitted, mut refused) = (0, 0);
    for ms in 0..seconds * 1_000 {
        let (arrived, under_way): (Vec<_>, Vec<_>) =
            transfers.into_iter().partition(|(end, ..)| *end <= ms);
        transfers = under_way;
        for (_, region, tokens) in arrived {
            owners[region].add_transferred(at(ms), &id, tokens);
        }
        for region in 0..3 {
            let before = ms * per_s[region] / 1_000;
            for _ in before..(ms + 1) * per_s[region] / 1_000 {
                match owners[region].lend(at(ms), &id, REQUEST_TOKENS) {
                    Ok(()) => admitted += 1,
                    Err(_) => refused += 1,
                }
                let Some(tokens) = owners[region].tokens_to_transfer(at(ms), &id) else {
                    continue;
                };
                let mut missing = tokens;
                for (n, lender) in [(1, (region + 1) % 3), (2, (region + 2) % 3)] {
                    let taken = owners[lender].take_for_transfer(at(ms), &id, missing);
                    missing -= taken;
                    transfers.push((ms + n * TRANSFER_MS, region, taken));
                }
            }
        }
    }
    (admitted, refused)
}

/// Regions have their peaks at different times. Guards against requests that are refused inside
/// the rate because the pools of regions without demand stay full.
#[test]
fn pools_follow_demand_of_one_region() {
    let (admitted, refused) = play_pools(20, [70, 0, 0]);
    assert!(
        refused * 50 <= admitted,
        "{refused} refused, {admitted} admitted"
    );
}

/// Guards against transfers that create tokens: all pools together must stay within the part of
/// the rate and burst that they have.
#[test]
fn pools_with_transfers_stay_within_rate() {
    for per_s in [[300, 300, 300], [300, 0, 0], [200, 20, 5]] {
        let (admitted, _) = play_pools(20, per_s);
        assert!(admitted <= 20 * 80 + 43, "{admitted} at {per_s:?}");
    }
}
