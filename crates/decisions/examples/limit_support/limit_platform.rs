//! Simulated network, store and instance list.

use std::time::Duration;

use hawthornquay_decisions::{InstanceRecord, InstanceState, MonotonicTime, SlotRules};
use rand::Rng;

use super::limit_types::*;

impl Run {
    /// Applies the slots in the store to the table of an instance and writes its planned changes.
    pub(crate) fn update_slots(&mut self, index: usize) {
        let now = MonotonicTime(self.now);
        if self.instances[index].revision != self.slots.revision {
            self.instances[index].revision = self.slots.revision;
            self.instances[index]
                .table
                .adopt_slots(self.slots.clone(), now);
        }
        let domain = self.instances[index].domain;
        let instances: Vec<InstanceRecord> = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, instance)| instance.domain == domain)
            .map(|(at, instance)| self.instance_record(at, instance))
            .collect();
        let rules = SlotRules {
            instances: &instances,
            list_lag: Duration::from_micros(LIST_LAG_US),
            address: ([127, 0, 0, 1], 1).into(),
            uptime: Duration::ZERO,
        };
        if let Some(value) = self.instances[index].table.plan_slots(&rules, now) {
            self.slots.revision.revision += 1;
            self.slots.domains.insert(domain_name(domain), value);
        }
    }

    /// Returns the record of an instance in the platform's list.
    pub(crate) fn instance_record(&self, at: usize, instance: &Instance) -> InstanceRecord {
        let address = ([127, 0, 0, 1], 1).into();
        let since = self
            .lost_instance
            .filter(|(failed, _)| at == *failed || at + 1 == self.instances.len());
        let age_ms = since.map_or(3_600_000, |(_, since)| (self.now - since) / 1_000);
        InstanceRecord {
            name: instance.id.name.clone(),
            region: format!("r{}", region_of(instance.domain)).into(),
            domain: domain_name(instance.domain),
            callers: address,
            peers: address,
            operators: address,
            state: if instance.alive {
                InstanceState::Live
            } else {
                InstanceState::Gone
            },
            state_age_ms: age_ms,
        }
    }

    /// Returns the time at which a message arrives, or `None` if it is lost.
    pub(crate) fn delivery_time(&mut self, from: usize, to: usize) -> Option<u64> {
        let (a, b) = (self.instances[from].domain, self.instances[to].domain);
        let latency_us = match () {
            () if a == b => 300,
            () if region_of(a) == region_of(b) => 3_000,
            () => 55_000,
        };
        let partitioned = a != b && (self.is_cut_off(a) || self.is_cut_off(b));
        let lost = self.random.random_ratio(MESSAGE_LOSS_PERCENT, 100);
        (!partitioned && !lost)
            .then(|| self.now + latency_us + self.random.random_range(0..latency_us / 5))
    }

    pub(crate) fn is_cut_off(&self, domain: usize) -> bool {
        self.scenario == Scenario::CutOffDomain
            && domain == 0
            && (FAULT_START_US..FAULT_END_US).contains(&self.now)
    }
}
