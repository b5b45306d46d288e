//! Backend servers of the own region.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, Map, MonotonicTime, ServiceName, Set};

use crate::{
    BackendEntry, ColdStartLimiter, Configuration, LatencyModel, RecentPrefixes, ReportedLoad,
    ServerFailure, ServerHealth, ServerListing, ServerLoad, ServerPick, ServerUsage, ServiceReport,
    listed_server::ListedServer,
};

/// Time after the store's return during which servers missing from its list stay in use; servers
/// that live have registered again by then.
const RETURN_GRACE: Duration = Duration::from_millis(2_400);

/// Age of the list from which the store counts as away.
const AWAY_AFTER: Duration = Duration::from_millis(2_500);

/// Backend servers, their load and their health.
#[derive(Default)]
pub struct ServerTable {
    revision: u64,
    pub(crate) servers: Map<BackendName, ListedServer>,
    pub(crate) evacuated: Set<DomainName>,
    /// Services whose servers are model engines.
    engines: Set<ServiceName>,
    /// Choices so far, which vary the samples.
    pub(crate) picks: u64,
    read_at: Option<MonotonicTime>,
    returned_at: Option<MonotonicTime>,
}

impl ServerTable {
    /// Returns the revision of the list in use; zero before the first.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the age of the list, or `None` before the first.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Notes that the list was still current at `read_at`.
    pub fn confirm(&mut self, read_at: MonotonicTime) {
        self.note_read(read_at);
    }

    /// Takes over a list that was read at `read_at`; returns what changed, as text for the log.
    ///
    /// An older list than the one in use is ignored. After the store was away, servers that are
    /// missing from the list stay in use for a while, since their entries may have lapsed.
    pub fn apply_listing(
        &mut self,
        now: MonotonicTime,
        read_at: MonotonicTime,
        listing: &ServerListing,
    ) -> Vec<String> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        self.note_read(read_at);
        self.revision = listing.revision;
        let mut changes = Vec::new();
        for entry in &listing.servers {
            self.take_entry(now, entry, &mut changes);
        }
        let until = self.returned_at.map(|at| at + RETURN_GRACE);
        let listed: Set<&BackendName> = listing.servers.iter().map(|s| &s.id).collect();
        self.servers.retain(|id, server| {
            if listed.contains(id) {
                server.held_until = None;
                return true;
            }
            // The first absence decides, so that a store that is away again extends nothing.
            server.held_until = server.held_until.or(until);
            let held = server.held_until.is_some_and(|until| now < until);
            if !held {
                changes.push(format!("{id} gone"));
            }
            held
        });
        changes
    }

    /// Returns the list for instances that cannot read the store.
    ///
    /// Servers that are missing from the store's list are left out, since the others may know that
    /// they are gone.
    pub fn listing(&self, now: MonotonicTime) -> ServerListing {
        let servers = self
            .servers
            .values()
            .filter(|server| server.held_until.is_none())
            .map(|server| BackendEntry {
                cold_remaining: server.cold.remaining(now),
                ..server.entry.clone()
            })
            .collect();
        ServerListing {
            revision: self.revision,
            servers,
        }
    }

    /// Takes over which services are model engines; the list of servers may have been read before.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.engines = configuration
            .services
            .iter()
            .filter(|(_, terms)| terms.engine.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for server in self.servers.values_mut() {
            let engine = self.engines.contains(&server.entry.service);
            server.latency.set_engine(engine);
        }
    }

    /// Replaces the failure domains whose servers get nothing; returns whether they changed.
    pub fn set_evacuated(&mut self, domains: &[DomainName]) -> bool {
        let domains: Set<DomainName> = domains.iter().cloned().collect();
        let changed = domains != self.evacuated;
        self.evacuated = domains;
        changed
    }

    /// Returns whether the failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.contains(domain)
    }

    /// Counts a request that is sent to the server.
    pub fn record_sent(&mut self, now: MonotonicTime, pick: &ServerPick, prefix: Option<u64>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.record_sent(pick.uncached_tokens);
        if server.cold.is_cold(now) {
            server.cold.record_sent(now);
        }
        if let Some(prefix) = prefix {
            server.prefixes.record(now, prefix);
        }
    }

    /// Counts the first part of an answer after `took`, or the end of waiting for it.
    pub fn record_first_byte(&mut self, pick: &ServerPick, took: Option<Duration>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.record_first_byte(pick.uncached_tokens);
        if let Some(took) = took {
            server.latency.observe(took, pick.uncorrected_ms);
        }
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self, id: &BackendName) {
        if let Some(server) = self.servers.get_mut(id) {
            server.load.record_end();
        }
    }

    /// Counts a good answer.
    pub fn record_success(&mut self, now: MonotonicTime, id: &BackendName) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.record_success(now);
        }
    }

    /// Counts a failure; a server that was not reached may have restarted and counts as cold.
    pub fn record_failure(
        &mut self,
        now: MonotonicTime,
        id: &BackendName,
        failure: ServerFailure,
        configuration: &Configuration,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.health.record_failure(now, failure);
        if failure == ServerFailure::Unreachable
            && let Some(terms) = configuration.service(&server.entry.service)
        {
            server.cold.extend(now, terms.cold_duration);
        }
    }

    /// Notes that another process answers at the server's address.
    pub fn remove_replaced(&mut self, id: &BackendName) {
        self.servers.remove(id);
    }

    /// Takes the load that a server reports with an answer.
    pub fn record_load_report(&mut self, now: MonotonicTime, id: &BackendName, load: ReportedLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.load.record_load_report(now, load);
        }
    }

    /// Takes how long a server says that it stays cold.
    pub fn record_cold_report(&mut self, now: MonotonicTime, id: &BackendName, left: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cold.extend(now, left);
        }
    }

    /// Returns the own work at each server.
    pub fn own_usage(&self) -> Vec<ServerUsage> {
        self.servers
            .iter()
            .filter(|(_, server)| server.load.own_requests > 0)
            .map(|(id, server)| ServerUsage {
                id: id.clone(),
                requests: server.load.own_requests,
                pending_tokens: server.load.own_pending,
            })
            .collect()
    }

    /// Takes the work that the `peers` other instances of the region have at each server; servers
    /// that are not named have none.
    pub fn apply_peer_usage(&mut self, now: MonotonicTime, peers: u32, rows: &[ServerUsage]) {
        let rows: Map<&BackendName, &ServerUsage> = rows.iter().map(|row| (&row.id, row)).collect();
        for (id, server) in &mut self.servers {
            let (requests, pending) = rows
                .get(id)
                .map_or((0, 0), |row| (row.requests, row.pending_tokens));
            // Requests to plain services mostly end within an interval.
            let engine = self.engines.contains(&server.entry.service);
            let senders = if engine { peers } else { 0 };
            server
                .load
                .apply_peer_usage(now, senders, requests, pending);
        }
    }

    /// Returns the load of each service over the servers for which `local` holds.
    pub fn service_reports(
        &self,
        now: MonotonicTime,
        local: impl Fn(&DomainName) -> bool,
    ) -> Map<ServiceName, ServiceReport> {
        let mut reports: Map<ServiceName, ServiceReport> = Map::default();
        for server in self.servers.values() {
            let domain = &server.entry.domain;
            if !local(domain) || self.evacuated.contains(domain) || !server.is_usable(now) {
                continue;
            }
            // A cold server takes too few requests to be offered to other regions.
            if server.cold.is_cold(now) {
                continue;
            }
            let wait = server.wait_ms(now);
            let requests = server.load.requests(now);
            let report = reports
                .entry(server.entry.service.clone())
                .or_insert_with(ServiceReport::empty);
            report.servers += 1;
            report.free_slots += server.entry.slots.saturating_sub(requests);
            report.expected_latency = report
                .expected_latency
                .min(Duration::from_secs_f64(wait / 1_000.0));
        }
        reports
    }

    /// Returns the number of servers in the list.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn note_read(&mut self, read_at: MonotonicTime) {
        match self.read_at {
            Some(before) if read_at.since(before) >= AWAY_AFTER => {
                self.returned_at = Some(read_at);
            }
            _ => {}
        }
        self.read_at = self.read_at.max(Some(read_at));
    }

    fn take_entry(&mut self, now: MonotonicTime, entry: &BackendEntry, changes: &mut Vec<String>) {
        let engine = self.engines.contains(&entry.service);
        if let Some(server) = self.servers.get_mut(&entry.id)
            && server.entry.started_ms == entry.started_ms
            && server.entry.address == entry.address
            && server.entry.service == entry.service
        {
            if entry.leaving && !server.entry.leaving {
                changes.push(format!("{} leaving", entry.id));
            }
            let leaving = server.entry.leaving || entry.leaving;
            server.entry = BackendEntry {
                leaving,
                ..entry.clone()
            };
            server.cold.extend(now, entry.cold_remaining);
            return;
        }
        changes.push(format!("{} at {}", entry.id, entry.address));
        let mut cold = ColdStartLimiter::default();
        cold.extend(now, entry.cold_remaining);
        let server = ListedServer {
            entry: entry.clone(),
            load: ServerLoad::default(),
            health: ServerHealth::default(),
            cold,
            latency: LatencyModel::new(engine),
            prefixes: RecentPrefixes::default(),
            held_until: None,
        };
        self.servers.insert(entry.id.clone(), server);
    }
}
