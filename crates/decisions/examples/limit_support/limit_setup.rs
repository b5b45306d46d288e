//! Initial state of the simulation: bundle, generated traffic, instances and buckets.

use std::collections::BinaryHeap;

use hawthornquay_decisions::{
    Bundle, FailureDomain, InstanceId, LimitBucket, LimitShare, LimitTable, Map, MonotonicTime,
    Organisation, OrganisationId, Residency, SlotSnapshot, StoreRevision,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::limit_types::*;

impl Run {
    pub(crate) fn new(size: Size, scheme: Scheme, scenario: Scenario) -> Self {
        let mut random = StdRng::seed_from_u64(7);
        let mut bundle = Bundle {
            version: 1,
            ..Bundle::default()
        };
        for index in 0..size.domains {
            let domain = FailureDomain {
                name: domain_name(index),
                region: format!("r{}", region_of(index)).into(),
                limit_weight: 1,
            };
            bundle.domains.insert(domain.name.clone(), domain);
        }
        let weights: Vec<f64> = (0..size.organisations)
            .map(|index| 1.0 / (index as f64 + 5.0).powf(0.8))
            .collect();
        let sum: f64 = weights.iter().sum();
        let mut run = Self {
            scheme,
            scenario,
            bundle,
            organisations: Vec::new(),
            steady: Vec::new(),
            arrivals: Vec::new(),
            instances: Vec::new(),
            by_id: Map::default(),
            buckets: Vec::new(),
            ideal_buckets: Vec::new(),
            admissions: Vec::new(),
            events: BinaryHeap::new(),
            event_bodies: Map::default(),
            last_event_number: 0,
            slots: SlotSnapshot::default(),
            store_writes: (0, 0),
            lost_instance: None,
            counters: Counters::default(),
            random: StdRng::seed_from_u64(11),
            now: 0,
        };
        for (index, weight) in weights.iter().enumerate() {
            let requests_per_s = size.requests_per_s * weight / sum;
            // Every fifth organisation sends twice its rate; the others send 40% to 80% of it.
            let load = if index % 5 == 4 {
                2.0
            } else {
                random.random_range(0.4..0.8)
            };
            run.add_organisation(index, requests_per_s, load, size, &mut random);
        }
        run.arrivals.sort_by_key(|arrival| arrival.at);
        run.start(size);
        run
    }

    pub(crate) fn add_organisation(
        &mut self,
        index: usize,
        per_s: f64,
        load: f64,
        size: Size,
        random: &mut StdRng,
    ) {
        /// Mean number of tokens used per request, from the distributions below.
        const MEAN_TOKENS_USED: f64 = 330.0;
        let id = OrganisationId::from(format!("o{index}"));
        // The burst is ten seconds of the rate, but at least four requests of the maximum size.
        let rate = (per_s * MEAN_TOKENS_USED / load).max(1.0) as u64;
        let home = index % size.domains;
        let is_home_only = index % 6 == 5;
        let residency = if is_home_only {
            Residency::Regions(
                [format!("r{}", region_of(home)).as_str().into()]
                    .into_iter()
                    .collect(),
            )
        } else {
            Residency::Any
        };
        let organisation = Organisation {
            id: id.clone(),
            rate,
            burst: (rate * 10).max(4_000),
            residency,
        };
        self.ideal_buckets.push(LimitBucket::new(
            LimitShare::fleet_wide(&organisation),
            u64::MAX,
            MonotonicTime(0),
        ));
        self.bundle.organisations.insert(id.clone(), organisation);
        self.organisations.push(id);
        self.steady.push(load < 1.0);
        let mut at = 0.0;
        loop {
            at += -f64::ln(1.0 - random.random::<f64>()) / per_s * 1e6;
            if at as u64 >= END_US {
                return;
            }
            let mut domain = if random.random_bool(0.8) {
                home
            } else {
                random.random_range(0..size.domains)
            };
            if is_home_only && region_of(domain) != region_of(home) {
                domain = home;
            }
            let tokens = random.random_range(100..=1_000);
            self.arrivals.push(Arrival {
                at: at as u64,
                organisation: index,
                domain,
                random_choice: random.random_range(0..usize::MAX),
                tokens,
                used: (tokens as f64 * random.random_range(0.2..=1.0)) as u64,
                duration_us: random.random_range(300_000..4_000_000),
            });
        }
    }

    pub(crate) fn start(&mut self, size: Size) {
        for index in 0..size.instances {
            self.add_instance(&format!("i{index:03}"), index % size.domains);
        }
        match self.scheme {
            Scheme::Loans => {
                for index in 0..size.instances {
                    self.update_slots(index);
                }
                (0..size.instances).for_each(|index| self.update_slots(index));
            }
            Scheme::StaticSplit => {
                for _ in 0..size.instances {
                    for ideal_bucket in &self.ideal_buckets {
                        let fleet_share = ideal_bucket.share();
                        let share = LimitShare {
                            rate: fleet_share.rate / size.instances as u64,
                            capacity: fleet_share.capacity / size.instances as u64,
                        };
                        self.buckets
                            .push(LimitBucket::new(share, u64::MAX, MonotonicTime(0)));
                    }
                }
            }
            Scheme::StoreBucket => self.buckets = self.ideal_buckets.clone(),
        }
        for index in 0..self.arrivals.len() {
            self.schedule(self.arrivals[index].at, Event::Arrive(index));
        }
        self.schedule(0, Event::Tick(0));
    }

    pub(crate) fn add_instance(&mut self, name: &str, domain: usize) {
        let id = InstanceId::new(name, self.instances.len() as u64);
        let mut table = LimitTable::new(id.clone(), domain_name(domain));
        if self.scheme == Scheme::Loans {
            table.adopt_bundle(&self.bundle, MonotonicTime(self.now));
        }
        self.by_id.insert(id.clone(), self.instances.len());
        self.instances.push(Instance {
            table,
            id,
            domain,
            alive: true,
            revision: StoreRevision::ABSENT,
            waiting: Vec::new(),
            messages: 0,
        });
    }
}
