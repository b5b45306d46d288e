//! Instance list of the platform, with a delay.

use std::{collections::BTreeMap, time::Duration};

use hawthornquay_decisions::InstanceRecord;
use tokio::time::Instant;

/// List that keeps the history of each instance, so that past states can be returned.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    history: BTreeMap<String, Vec<(Instant, Option<InstanceRecord>)>>,
}

impl InstanceList {
    /// Sets the record of an instance, or removes the instance if `record` is `None`.
    pub(crate) fn set(&mut self, now: Instant, name: &str, record: Option<InstanceRecord>) {
        let states = self.history.entry(name.to_owned()).or_default();
        states.push((now, record));
    }

    /// Returns the list as of `lag` before `now`, with the ages of the states at that time.
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
