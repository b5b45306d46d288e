//! Guards against organisations that get more or less than their rate over the fleet.

mod common;

use std::time::Duration;

use common::{at, configuration};
use hawthornquay_decisions::{Map, OrganisationId};
use hawthornquay_traffic::{FleetDemand, OrganisationLimits, TokenBucket};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const STATUS_MS: u64 = 300;

/// Regions of the fleets; instance n stands in region n % 3, and instances 0 to 2 keep the pools.
const REGIONS: usize = 3;

fn organisation() -> OrganisationId {
    OrganisationId::new("o")
}

/// Instances that exchange their demand with a delay of `delay` status rounds.
struct Fleet {
    limits: Vec<OrganisationLimits>,
    published: Vec<Vec<f64>>,
    delay: usize,
    now: u64,
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
            now: 0,
        }
    }

    /// Admits a request at an instance, from its share or from the pool of a region.
    fn admit(&mut self, index: usize, ms: u64, size: u64) -> bool {
        let (time, id) = (at(ms), organisation());
        self.limits[index].admit(time, &id, size).is_ok()
            || (0..REGIONS).any(|n| {
                let keeper = (index + n) % REGIONS;
                self.limits[keeper].lend(time, &id, size).is_ok()
            })
    }

    /// Plays one status interval with requests of `size` tokens; returns the tokens admitted.
    fn round(&mut self, requests: &[u32], size: u64) -> f64 {
        let mut admitted = 0.0;
        for (index, count) in requests.iter().enumerate() {
            for n in 0..*count {
                let time = self.now + u64::from(n) * STATUS_MS / u64::from(*count);
                if self.admit(index, time, size) {
                    admitted += size as f64;
                }
            }
        }
        self.exchange();
        admitted
    }

    /// Ends a status interval: the instances tell each other their demand.
    fn exchange(&mut self) {
        self.now += STATUS_MS;
        let time = at(self.now);
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
        let known = self.published.len().saturating_sub(self.delay + 1);
        for (index, limit) in self.limits.iter_mut().enumerate() {
            let total: f64 = self.published[known]
                .iter()
                .enumerate()
                .map(|(other, rate)| if other == index { own[index] } else { *rate })
                .sum();
            let fleet = FleetDemand {
                instances: self.published[known].len(),
                complete: true,
                totals: [(organisation(), total)].into_iter().collect(),
            };
            limit.update_shares(time, &fleet);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against demand that rises everywhere at once being counted by each instance before
    /// the others know it: the window's bound is that of the deployments, without their slack.
    #[test]
    fn shares_shifting_demand_stay_within_the_window(
        demands in prop::collection::vec(prop::collection::vec(0_u32..30, 9), 60),
        delay in 0_usize..4,
    ) {
        let rate = 40_000;
        let mut fleet = Fleet::new(9, rate, 0, delay);
        let admitted: Vec<f64> =
            demands.iter().map(|requests| fleet.round(requests, 400)).collect();
        let window = 27;
        for part in admitted.windows(window) {
            let seconds = (window as u64 * STATUS_MS) as f64 / 1_000.0;
            let allowed = rate as f64 * (seconds + 1.0) * 1.1;
            prop_assert!(part.iter().sum::<f64>() <= allowed, "{:?}", part);
        }
    }
}

/// Guards against a hot organisation: seven times its rate everywhere, beginning at once.
#[test]
fn shares_hot_organisation_gets_its_rate() {
    let rate = 40_000;
    let mut fleet = Fleet::new(9, rate, 0, 2);
    let admitted: Vec<f64> = (0..60).map(|_| fleet.round(&[23; 9], 400)).collect();
    let total: f64 = admitted.iter().sum();
    let seconds = 60.0 * STATUS_MS as f64 / 1_000.0;
    assert!(total <= rate as f64 * (seconds + 1.0) * 1.1, "{total}");
    assert!(total >= rate as f64 * seconds * 0.85, "{total}");
}

/// Guards against refusals inside the rate when the demand moves from one region to another.
#[test]
fn shares_follow_demand_within_seconds() {
    let mut fleet = Fleet::new(9, 40_000, 0, 2);
    let here = [8, 8, 8, 0, 0, 0, 0, 0, 0];
    let there = [0, 0, 0, 0, 0, 0, 8, 8, 8];
    for _ in 0..20 {
        fleet.round(&here, 400);
    }
    for _ in 0..12 {
        fleet.round(&there, 400);
    }
    let offered = f64::from(8 * 3) * 400.0;
    let admitted = fleet.round(&there, 400);
    assert!(admitted >= offered * 0.95, "{admitted} of {offered}");
}

/// Guards against shares that grow while a region is not heard of, since it may hold them.
#[test]
fn adapt_silent_region_does_not_raise_the_share() {
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
        let time = at(600 + round * STATUS_MS);
        let _ = limits.admit(time, &organisation(), 20_000);
        limits.publish_demand(time);
        limits.update_shares(time, &fleet);
    }
    assert!(limits.share(&organisation()).unwrap() <= before);
}

/// Guards against a fresh process that spends the whole rate before it knows the others.
#[test]
fn configure_unknown_fleet_begins_with_a_small_share() {
    let mut limits = OrganisationLimits::new(140_000, REGIONS);
    limits.configure(at(0), &configuration(100_000, 100_000));
    let spent = (0..1_000)
        .filter(|_| limits.admit(at(0), &organisation(), 100).is_ok())
        .count();
    assert!(spent * 100 <= 10_000, "{spent}");
}

/// Guards against a small organisation that gets nothing because each share is smaller than one
/// of its requests, also at an instance that reaches no pool.
#[test]
fn admit_request_above_the_share_uses_the_slack() {
    let mut fleet = Fleet::new(9, 36_000, 140_000, 2);
    assert!(fleet.admit(4, 3_000, 12_000));
    let alone = fleet.limits[5].admit_without_pool(at(3_000), &organisation(), 12_000);
    assert_eq!(alone, Ok(()));
}

/// Guards against refusals inside the rate: an organisation that uses 55% of its rate with the
/// deployments' mixture of long and short requests, on the smallest and the largest fleet.
#[test]
fn pools_usual_demand_is_not_refused() {
    for (instances, rate) in [(9, 36_000_u64), (9, 200_000), (65, 72_000), (65, 500_000)] {
        let mut random = StdRng::seed_from_u64(20_261_204);
        let mut fleet = Fleet::new(instances, rate, 140_000, 2);
        // One long request in five, as on the deployments' sheets.
        let mean = 12_500.0 * 0.2 + 2_400.0 * 0.8;
        let chance = rate as f64 * 0.55 / mean * 0.001;
        let (mut offered, mut refused) = (0.0, 0.0);
        for ms in 0..60_000 {
            if ms % STATUS_MS == 0 {
                fleet.exchange();
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
        let part = refused / offered;
        assert!(
            part < 0.01,
            "{instances} instances, {rate}/s: {part:.3} refused"
        );
    }
}

/// Guards against a cost above the capacity that is never admitted, or admitted for nothing.
#[test]
fn spend_cost_above_capacity_leaves_a_debt() {
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

/// Guards against debts that add up: requests larger than the shares, of an organisation that
/// sends seven times its rate at all 65 instances of the largest fleet at once, within the bound
/// of the deployments (a tenth and 140,000 tokens).
#[test]
fn shares_hot_organisation_with_large_requests_stays_within_the_window() {
    let (rate, size) = (500_000, 12_500);
    let mut fleet = Fleet::new(65, rate, 140_000, 2);
    for _ in 0..30 {
        let quiet: Vec<u32> = (0..65).map(|n| u32::from(n % 9 == 0)).collect();
        fleet.round(&quiet, size);
    }
    let admitted: Vec<f64> = (0..60).map(|_| fleet.round(&[2; 65], size)).collect();
    for part in admitted.windows(27) {
        let seconds = (27 * STATUS_MS) as f64 / 1_000.0;
        let allowed = rate as f64 * (seconds + 1.0) * 1.1 + 140_000.0;
        let sum: f64 = part.iter().sum();
        assert!(sum <= allowed, "{sum} of {allowed}");
    }
}
