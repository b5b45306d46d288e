//! Lagging list of instances.

use std::{collections::BTreeMap, time::Duration};

use hawthornquay_decisions::InstanceRecord;
use tokio::time::Instant;

/// Keeps every state that each instance had, so that the list can show an old one.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    history: BTreeMap<String, Vec<(Instant, Option<InstanceRecord>)>>,
}

impl InstanceList {
    /// Sets an instance's record, or takes the instance off the list.
    pub(crate) fn set(&mut self, now: Instant, name: &str, record: Option<InstanceRecord>) {
        let states = self.history.entry(name.to_owned()).or_default();
        states.push((now, record));
    }

    /// Returns the list as it was `lag` ago, with the ages that the states had then.
    pub(crate) fn lagged(&self, now: Instant, lag: Duration) -> Vec<InstanceRecord> {
        let Some(shown_at) = now.checked_sub(lag) else {
            return Vec::new();
        };
        let lagged_record = |states: &Vec<(Instant, Option<InstanceRecord>)>| {
            let visible = &states[..states.partition_point(|(at, _)| *at <= shown_at)];
            let mut record = visible.last()?.1.clone()?;
            let has_same_state = |held: &Option<InstanceRecord>| {
                held.as_ref().is_some_and(|held| held.state == record.state)
            };
            let since = visible
                .iter()
                .rev()
                .take_while(|(_, held)| has_same_state(held))
                .last()?
                .0;
            record.state_age_ms = u64::try_from((shown_at - since).as_millis()).unwrap_or(u64::MAX);
            Some(record)
        };
        self.history.values().filter_map(lagged_record).collect()
    }
}
