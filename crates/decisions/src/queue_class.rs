//! Waiting requests of one priority class.

use std::{collections::VecDeque, time::Duration};

use crate::{Map, MonotonicTime, OrganisationId, QueueEntry};

/// Upper bound of the organisations whose first request is tried per call; bounds the run time of a
/// call when no request can be served.
const MAX_ORGANISATIONS_TRIED: usize = 32;

/// Waiting requests of one priority class, served by start-time fair queueing with one flow per
/// organisation.
///
/// The first waiting request of each flow has a virtual start time: the virtual finish time of the
/// last request served from the flow, or the virtual time at its arrival if that is later.
/// The request with the earliest start time is served first, so that an organisation which sends
/// ten times as many requests as others waits only behind its own. Requests that leave the queue
/// without being served are not charged.
#[derive(Clone, Debug)]
pub(crate) struct QueueClass<T> {
    flows: Map<OrganisationId, Flow<T>>,
    /// Latest virtual start time of a request that was served.
    virtual_time: f64,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    waiting: VecDeque<QueueEntry<T>>,
    /// Virtual start time of the first waiting request.
    virtual_start: f64,
    weight: f64,
}

impl<T> QueueClass<T> {
    pub(crate) fn new() -> Self {
        Self {
            flows: Map::default(),
            virtual_time: 0.0,
        }
    }

    pub(crate) fn push(&mut self, entry: QueueEntry<T>, weight: f64) {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(entry.organisation.clone())
            .or_insert_with(|| Flow {
                waiting: VecDeque::new(),
                virtual_start: virtual_time,
                weight,
            });
        flow.weight = weight;
        flow.waiting.push_back(entry);
    }

    pub(crate) fn pop(
        &mut self,
        is_ready: &mut impl FnMut(&QueueEntry<T>) -> bool,
    ) -> Option<QueueEntry<T>> {
        let organisation = self
            .in_order()
            .into_iter()
            .take(MAX_ORGANISATIONS_TRIED)
            .find(|organisation| {
                let first = self.flows[*organisation].waiting.front();
                first.is_some_and(&mut *is_ready)
            })?
            .clone();
        let flow = self.flows.get_mut(&organisation)?;
        let entry = flow.waiting.pop_front()?;
        let start = flow.virtual_start;
        flow.virtual_start += entry.cost.max(1) as f64 / flow.weight;
        let virtual_time = self.virtual_time.max(start);
        self.virtual_time = virtual_time;
        // An empty flow whose start time is not ahead of the virtual time would be recreated with
        // the virtual time, so it can be dropped.
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.virtual_start > virtual_time);
        Some(entry)
    }

    /// Returns the estimated number of requests that are served before a new one of `organisation`.
    pub(crate) fn ahead_of(&self, organisation: &OrganisationId) -> usize {
        let turns = self.len_of(organisation) + 1;
        let flows = self.flows.iter();
        let others = flows.filter(|(other, _)| *other != organisation);
        others
            .map(|(_, flow)| flow.waiting.len().min(turns))
            .sum::<usize>()
            + turns
            - 1
    }

    /// Returns the earliest start of a wait among the first requests of all flows.
    pub(crate) fn oldest(&self) -> Option<MonotonicTime> {
        self.flows
            .values()
            .filter_map(|flow| Some(flow.waiting.front()?.waiting_since))
            .min()
    }

    pub(crate) fn expire(&mut self, limit: Duration, now: MonotonicTime) -> Vec<QueueEntry<T>> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            while let Some(entry) = flow
                .waiting
                .pop_front_if(|entry| now.since(entry.waiting_since) >= limit)
            {
                expired.push(entry);
            }
        }
        expired
    }

    pub(crate) fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<QueueEntry<T>> {
        self.flows.values_mut().find_map(|flow| {
            let index = flow.waiting.iter().position(|entry| matches(&entry.item))?;
            flow.waiting.remove(index)
        })
    }

    pub(crate) fn len_of(&self, organisation: &OrganisationId) -> usize {
        self.flows
            .get(organisation)
            .map_or(0, |flow| flow.waiting.len())
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Returns the organisations with waiting requests in the order of service.
    fn in_order(&self) -> Vec<&OrganisationId> {
        let mut flows: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .collect();
        flows.sort_by(|(x, a), (y, b)| {
            a.virtual_start
                .total_cmp(&b.virtual_start)
                .then_with(|| x.cmp(y))
        });
        flows
            .into_iter()
            .map(|(organisation, _)| organisation)
            .collect()
    }
}
