//! Waiting requests of one priority.

use std::{collections::VecDeque, time::Duration};

use crate::{Map, MonotonicTime, OrganisationId, QueueEntry};

/// Most organisations whose first request is tried at once; bounds the time when all must wait.
const ORGANISATIONS_TRIED: usize = 32;

/// Waiting requests of one priority, shared by start-time fair queueing.
///
/// Each organisation's first waiting request has a virtual start time: the end of the last one
/// served, or the virtual time at its arrival if that is later. The earliest start is served
/// first, so an organisation that sends ten times as much waits behind its own requests. Requests
/// that leave unserved cost nothing.
#[derive(Clone, Debug)]
pub(crate) struct QueueClass<T> {
    lines: Map<OrganisationId, Line<T>>,
    virtual_time: f64,
}

#[derive(Clone, Debug)]
struct Line<T> {
    waiting: VecDeque<QueueEntry<T>>,
    start: f64,
    weight: f64,
}

impl<T> QueueClass<T> {
    pub(crate) fn new() -> Self {
        Self {
            lines: Map::default(),
            virtual_time: 0.0,
        }
    }

    pub(crate) fn push(&mut self, entry: QueueEntry<T>, weight: f64) {
        let virtual_time = self.virtual_time;
        let line = self
            .lines
            .entry(entry.organisation.clone())
            .or_insert_with(|| Line {
                waiting: VecDeque::new(),
                start: virtual_time,
                weight,
            });
        line.weight = weight;
        line.waiting.push_back(entry);
    }

    pub(crate) fn pop(
        &mut self,
        is_ready: &mut impl FnMut(&QueueEntry<T>) -> bool,
    ) -> Option<QueueEntry<T>> {
        let organisation = self
            .in_order()
            .into_iter()
            .take(ORGANISATIONS_TRIED)
            .find(|organisation| {
                let first = self.lines[*organisation].waiting.front();
                first.is_some_and(&mut *is_ready)
            })?
            .clone();
        let line = self.lines.get_mut(&organisation)?;
        let entry = line.waiting.pop_front()?;
        let start = line.start;
        line.start += entry.cost.max(1) as f64 / line.weight;
        let virtual_time = self.virtual_time.max(start);
        self.virtual_time = virtual_time;
        // A line that is not ahead of the virtual time carries no state worth keeping.
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.start > virtual_time);
        Some(entry)
    }

    /// Returns how many requests are likely to be served before a new one of `organisation`.
    pub(crate) fn ahead_of(&self, organisation: &OrganisationId) -> usize {
        let turns = self.len_of(organisation) + 1;
        let lines = self.lines.iter();
        let others = lines.filter(|(other, _)| *other != organisation);
        others
            .map(|(_, line)| line.waiting.len().min(turns))
            .sum::<usize>()
            + turns
            - 1
    }

    pub(crate) fn oldest(&self) -> Option<MonotonicTime> {
        self.lines
            .values()
            .filter_map(|line| Some(line.waiting.front()?.waiting_since))
            .min()
    }

    pub(crate) fn expire(&mut self, limit: Duration, now: MonotonicTime) -> Vec<QueueEntry<T>> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            while let Some(entry) = line
                .waiting
                .pop_front_if(|entry| now.since(entry.waiting_since) >= limit)
            {
                expired.push(entry);
            }
        }
        expired
    }

    pub(crate) fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<QueueEntry<T>> {
        self.lines.values_mut().find_map(|line| {
            let index = line.waiting.iter().position(|entry| matches(&entry.item))?;
            line.waiting.remove(index)
        })
    }

    pub(crate) fn len_of(&self, organisation: &OrganisationId) -> usize {
        self.lines
            .get(organisation)
            .map_or(0, |line| line.waiting.len())
    }

    pub(crate) fn len(&self) -> usize {
        self.lines.values().map(|line| line.waiting.len()).sum()
    }

    fn in_order(&self) -> Vec<&OrganisationId> {
        let mut lines: Vec<_> = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty())
            .collect();
        lines.sort_by(|(x, a), (y, b)| a.start.total_cmp(&b.start).then_with(|| x.cmp(y)));
        lines
            .into_iter()
            .map(|(organisation, _)| organisation)
            .collect()
    }
}
