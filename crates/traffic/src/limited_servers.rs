//! Backend servers that take only a limited number of requests.
//!
//! A server in need states in its answers how many requests per second it takes from all instances
//! together. One instance of its region grants them, so that the sum holds whatever the others know.

use std::{cmp::Reverse, time::Duration};

use hawthornquay_decisions::{BackendName, InstanceName, MonotonicTime};

use crate::{
    GrantedPart, LimitStatement, PermitDecision, ServerTable, request_limit::RequestLimit,
    stable_hash,
};

/// Number of instances of a region that may grant requests to the same server: the second one while the
/// first cannot be reached.
const MAX_GRANTING_INSTANCES: usize = 2;

/// Time for which a change of a limit is passed on: some status intervals, in case a message is lost.
const CHANGE_REPORT_TIME: Duration = Duration::from_millis(1_000);

/// Time after which an instance that does not grant requests to a server is asked again. The lists of
/// instances differ for about that long.
const NOT_GRANTING_DELAY: Duration = Duration::from_millis(300);

/// Limit of a backend server, as instances report it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLimit {
    /// Identifier of the server.
    pub id: BackendName,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
    /// Requests per second that it takes from all instances together; `None` without a limit.
    pub per_s: Option<f64>,
    /// Time at which the server has stated it.
    pub stated_at: MonotonicTime,
    /// Whether the reporting instance grants these requests and has none left.
    pub is_spent: bool,
}

/// Returns the instances of a region that grant requests to a limited server, the first one to ask
/// first.
pub fn granting_instances<'a>(
    server: &BackendName,
    region_instances: &'a [InstanceName],
) -> Vec<&'a InstanceName> {
    let mut ranked: Vec<&InstanceName> = region_instances.iter().collect();
    ranked.sort_by_cached_key(|name| Reverse(grant_key(server, name)));
    ranked.truncate(MAX_GRANTING_INSTANCES);
    ranked
}

/// Returns whether `instance` is the first of the instances that grant requests to a limited server.
pub(crate) fn grants_first(
    server: &BackendName,
    instance: &InstanceName,
    region_instances: &[InstanceName],
) -> bool {
    let own = grant_key(server, instance);
    region_instances
        .iter()
        .all(|name| name == instance || grant_key(server, name) < own)
}

fn grant_key(server: &BackendName, instance: &InstanceName) -> u64 {
    stable_hash(&["limit", server.as_str(), instance.as_str()])
}

impl ServerTable {
    /// Records what a response to a request that was sent at `sent_at` says about the server's limit;
    /// returns whether a limit begins or ends.
    ///
    /// Responses may overtake each other, so one without a limit ends the limit only if its request was
    /// sent after the last statement.
    pub fn record_limit(
        &mut self,
        now: MonotonicTime,
        sent_at: MonotonicTime,
        id: &BackendName,
        statement: LimitStatement,
    ) -> bool {
        let Some((limit, _)) = self.limit_mut(id) else {
            return false;
        };
        match statement {
            LimitStatement::PerSecond(per_s) => limit.apply(now, Some(per_s), now),
            // The answer may have been on its way when the server stated a limit to another instance.
            LimitStatement::Unlimited if sent_at >= limit.stated_at() => {
                limit.apply(now, None, sent_at)
            }
            LimitStatement::Unlimited | LimitStatement::Unstated => false,
        }
    }

    /// Applies a limit that another instance has reported.
    pub fn apply_limit(&mut self, now: MonotonicTime, reported: &ServerLimit) {
        let found = self.limit_mut(&reported.id);
        let Some((limit, _)) = found.filter(|(_, started_ms)| *started_ms == reported.started_ms)
        else {
            return;
        };
        // An age grows by less than the time that its message takes, so a statement that goes to and fro
        // would seem to be newer each time.
        if limit.per_s() != reported.per_s {
            limit.apply(now, reported.per_s, reported.stated_at);
        }
        if reported.is_spent {
            limit.mark_exhausted(now);
        }
    }

    /// Returns the limit of a server, listed or removed lately, and the start of its process.
    fn limit_mut(&mut self, id: &BackendName) -> Option<(&mut RequestLimit, u64)> {
        if let Some(server) = self.servers.get_mut(id) {
            return Some((&mut server.limit, server.entry.started_ms));
        }
        let departed = self.departed.get_mut(id)?;
        Some((&mut departed.limit, departed.started_ms))
    }

    /// Returns the limit of a server; `None` if the server is not known.
    pub fn limit(&self, now: MonotonicTime, id: &BackendName) -> Option<ServerLimit> {
        let server = self.servers.get(id)?;
        Some(ServerLimit {
            id: id.clone(),
            started_ms: server.entry.started_ms,
            per_s: server.limit.per_s(),
            stated_at: server.limit.stated_at(),
            is_spent: server.limit.is_spent(now),
        })
    }

    /// Returns the limits that other instances have to know: those that have changed lately, and those
    /// of which nothing is left.
    pub fn limits_to_report(&self, now: MonotonicTime) -> Vec<ServerLimit> {
        self.servers
            .iter()
            .filter(|(_, server)| {
                let changed_at = server.limit.changed_at();
                let is_new =
                    changed_at > MonotonicTime(0) && now.since(changed_at) < CHANGE_REPORT_TIME;
                is_new || server.limit.is_spent(now)
            })
            .filter_map(|(id, _)| self.limit(now, id))
            .collect()
    }

    /// Decides whether a request may be sent to the process of a limited server that started at
    /// `started_ms`. `instance` is this one.
    pub fn grant_permit(
        &mut self,
        now: MonotonicTime,
        (id, started_ms): (&BackendName, u64),
        instance: &InstanceName,
        region_instances: &[InstanceName],
    ) -> PermitDecision {
        let granting = granting_instances(id, region_instances);
        let part = match granting.iter().position(|name| *name == instance) {
            Some(0) => GrantedPart::Whole,
            Some(_) => GrantedPart::Substitute,
            None => return PermitDecision::Denied(NOT_GRANTING_DELAY),
        };
        self.grant_part(now, (id, started_ms), part)
    }

    /// Decides whether this instance may send a request to a limited server although it can reach none
    /// of the instances that grant them.
    pub fn grant_alone(
        &mut self,
        now: MonotonicTime,
        server: (&BackendName, u64),
        region_instances: usize,
    ) -> PermitDecision {
        self.grant_part(now, server, GrantedPart::Alone(region_instances))
    }

    fn grant_part(
        &mut self,
        now: MonotonicTime,
        (id, started_ms): (&BackendName, u64),
        part: GrantedPart,
    ) -> PermitDecision {
        let server = self.servers.get_mut(id);
        // The instances may know of different processes for a moment.
        match server.filter(|server| server.entry.started_ms == started_ms) {
            Some(server) => server.limit.grant(now, part),
            None => PermitDecision::Denied(NOT_GRANTING_DELAY),
        }
    }

    /// Records that no request may be sent to a limited server for a time.
    pub fn record_denial(&mut self, now: MonotonicTime, id: &BackendName, after: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.limit.deny(now, after);
        }
    }
}
