//! Backend servers of the own region.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    BackendName, DomainName, InstanceName, Map, MonotonicTime, RegionName, ServiceName, Set,
};

use crate::{
    BackendEntry, ColdGate, Configuration, LatencyModel, PREFILL_TOKENS_PER_MS, PlacementRequest,
    PrefixMemory, ReportedLoad, ServerFailure, ServerHealth, ServerListing, ServerLoad, ServerPick,
    ServiceReport, ServiceTerms, cold_gate::COLD_SENDERS, stable_hash,
};

/// Time after the store's return during which servers missing from its list stay in use; servers
/// that live have registered again by then.
const RETURN_GRACE: Duration = Duration::from_millis(2_400);

/// Age of the list from which the store counts as away.
const AWAY_AFTER: Duration = Duration::from_millis(2_500);

/// Share of an engine's slots that may be filled before others are preferred; the last ones slow
/// all streams of the engine.
const COMFORT: f64 = 0.8;

/// Weight of the time to read a shared prefix again, beyond the time itself: it is also taken from
/// the requests behind, and priced. Of 0.7, 2 and 4, the last one served best on both deployments.
const REREAD_WEIGHT: f64 = 4.0;

/// Instances of a region up to which each request is compared over all engines. With more, many
/// requests go out on the same counts, and the engine that looks best would get them all.
const COMPARED_BY_ALL: usize = 6;

/// Engines that a request of a larger region is compared over, beside the preferred one: two
/// random choices. Of 2, 3, 4 and 8, the first kept most answers on time.
const SAMPLE: f64 = 2.0;

/// Penalty of a server for each certain failure, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

struct Server {
    entry: BackendEntry,
    load: ServerLoad,
    health: ServerHealth,
    cold: ColdGate,
    latency: LatencyModel,
    prefixes: PrefixMemory,
    /// Time until which the server is used although it is missing from the list, since it may not
    /// have registered again yet; `None` for a listed server.
    held_until: Option<MonotonicTime>,
}

/// Work at one backend server, as instances tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUseRow {
    /// Identifier.
    pub id: BackendName,
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens of requests without an answer.
    pub pending_tokens: u64,
}

/// Backend servers, their load and their health.
#[derive(Default)]
pub struct ServerTable {
    revision: u64,
    servers: Map<BackendName, Server>,
    evacuated: Set<DomainName>,
    /// Services whose servers are model engines.
    engines: Set<ServiceName>,
    /// Choices so far, which vary the samples.
    picks: u64,
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
    pub fn take_listing(
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
                cold: server.cold.left(now),
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
    pub fn evacuate(&mut self, domains: &[DomainName]) -> bool {
        let domains: Set<DomainName> = domains.iter().cloned().collect();
        let changed = domains != self.evacuated;
        self.evacuated = domains;
        changed
    }

    /// Returns whether the failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.contains(domain)
    }

    /// Chooses the backend server with the shortest expected time to an answer.
    ///
    /// Returns `None` if none may take the request.
    pub fn pick(&mut self, now: MonotonicTime, req: &PlacementRequest<'_>) -> Option<ServerPick> {
        let terms = req.configuration.service(req.service)?;
        let prefix = req.work.shared_prefix();
        let home = prefix.and_then(|prefix| self.preferred(now, req, prefix));
        self.picks += 1;
        let share = self.sample_share(now, req, terms);
        let mut pick = self.best(now, req, terms, home.as_ref(), share);
        if pick.is_none() && share < 1.0 {
            pick = self.best(now, req, terms, home.as_ref(), 1.0);
        }
        let mut pick = pick?;
        if let Some(prefix) = prefix
            && terms.engine.is_some()
        {
            pick.copy_from = self.copy_source(now, req, prefix, &pick.id, home.as_ref());
        }
        Some(pick)
    }

    /// Returns the best of the preferred server and a sample of the others.
    fn best(
        &mut self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        terms: &ServiceTerms,
        home: Option<&BackendName>,
        share: f64,
    ) -> Option<ServerPick> {
        let prefix = req.work.shared_prefix();
        let mut best: Option<(f64, ServerPick)> = None;
        for (id, server) in &mut self.servers {
            let preferred = home == Some(id);
            if !server.is_candidate(now, req, &self.evacuated)
                || !(preferred || is_sampled(id, req.instance, self.picks, share))
            {
                continue;
            }
            let (sender, senders) = cold_sender(id, req);
            if !server.cold.is_open(now, terms.cold_rate, sender, senders) {
                continue;
            }
            let held = prefix.is_some_and(|prefix| server.prefixes.holds(now, prefix));
            let (score, pick) = server.assess(now, req, preferred || held);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// Counts a request that is sent to the server.
    pub fn start(&mut self, now: MonotonicTime, pick: &ServerPick, prefix: Option<u64>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.start(pick.tokens);
        if server.cold.is_cold(now) {
            server.cold.spend(now);
        }
        if let Some(prefix) = prefix {
            server.prefixes.note(now, prefix);
        }
    }

    /// Counts the first part of an answer after `took`, or the end of waiting for it.
    pub fn answer(&mut self, pick: &ServerPick, took: Option<Duration>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.answer(pick.tokens);
        if let Some(took) = took {
            server.latency.observe(took, pick.uncorrected_ms);
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: &BackendName) {
        if let Some(server) = self.servers.get_mut(id) {
            server.load.end();
        }
    }

    /// Counts a good answer.
    pub fn succeed(&mut self, now: MonotonicTime, id: &BackendName) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.succeed(now);
        }
    }

    /// Counts a failure; a server that was not reached may have restarted and counts as cold.
    pub fn fail(
        &mut self,
        now: MonotonicTime,
        id: &BackendName,
        failure: ServerFailure,
        configuration: &Configuration,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.health.fail(now, failure);
        if failure == ServerFailure::Unreachable
            && let Some(terms) = configuration.service(&server.entry.service)
        {
            server.cold.extend(now, terms.cold_time);
        }
    }

    /// Notes that another process answers at the server's address.
    pub fn misplace(&mut self, id: &BackendName) {
        self.servers.remove(id);
    }

    /// Takes the load that a server reports with an answer.
    pub fn report(&mut self, now: MonotonicTime, id: &BackendName, load: ReportedLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.load.report(now, load);
        }
    }

    /// Takes how long a server says that it stays cold.
    pub fn report_cold(&mut self, now: MonotonicTime, id: &BackendName, left: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cold.extend(now, left);
        }
    }

    /// Returns the own work at each server.
    pub fn own_uses(&self) -> Vec<ServerUseRow> {
        self.servers
            .iter()
            .filter(|(_, server)| server.load.own_requests > 0)
            .map(|(id, server)| ServerUseRow {
                id: id.clone(),
                requests: server.load.own_requests,
                pending_tokens: server.load.own_pending,
            })
            .collect()
    }

    /// Takes the work that the `peers` other instances of the region have at each server; servers
    /// that are not named have none.
    pub fn share_uses(&mut self, now: MonotonicTime, peers: u32, rows: &[ServerUseRow]) {
        let rows: Map<&BackendName, &ServerUseRow> =
            rows.iter().map(|row| (&row.id, row)).collect();
        for (id, server) in &mut self.servers {
            let (requests, pending) = rows
                .get(id)
                .map_or((0, 0), |row| (row.requests, row.pending_tokens));
            // Requests to plain services mostly end within an interval.
            let engine = self.engines.contains(&server.entry.service);
            let senders = if engine { peers } else { 0 };
            server.load.share(now, senders, requests, pending);
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
            report.wait = report.wait.min(Duration::from_secs_f64(wait / 1_000.0));
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
            server.cold.extend(now, entry.cold);
            return;
        }
        changes.push(format!("{} at {}", entry.id, entry.address));
        let mut cold = ColdGate::default();
        cold.extend(now, entry.cold);
        let server = Server {
            entry: entry.clone(),
            load: ServerLoad::default(),
            health: ServerHealth::default(),
            cold,
            latency: LatencyModel::new(engine),
            prefixes: PrefixMemory::default(),
            held_until: None,
        };
        self.servers.insert(entry.id.clone(), server);
    }

    /// Returns the part of the candidates that a request is compared over, from 0 to 1.
    fn sample_share(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        terms: &ServiceTerms,
    ) -> f64 {
        if terms.engine.is_none() || req.region_instances.len() <= COMPARED_BY_ALL {
            return 1.0;
        }
        let candidates = self
            .servers
            .values()
            .filter(|server| server.is_candidate(now, req, &self.evacuated));
        SAMPLE / candidates.count().max(1) as f64
    }

    /// Returns where the shared parts may be copied from, if not from `chosen` itself: the server
    /// that the own region prefers for them, or else the one that the largest other region prefers.
    fn copy_source(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        prefix: u64,
        chosen: &BackendName,
        home: Option<&BackendName>,
    ) -> Option<SocketAddr> {
        let known = home.filter(|home| *home != chosen);
        if let Some(server) = known.and_then(|home| self.servers.get(home)) {
            return Some(server.entry.address);
        }
        let mut regions: Map<&RegionName, (usize, u64, SocketAddr)> = Map::default();
        for (id, server) in &self.servers {
            let domain = &server.entry.domain;
            let usable = server.entry.service == *req.service
                && server.is_usable(now)
                && !server.cold.is_cold(now)
                && !self.evacuated.contains(domain)
                && !(req.is_local)(domain);
            let region = req.regions.get(domain);
            let Some(region) = region.filter(|name| usable && req.storing.contains(name)) else {
                continue;
            };
            let rank = affinity(id, prefix);
            let best = regions
                .entry(region)
                .or_insert((0, rank, server.entry.address));
            best.0 += 1;
            if rank > best.1 {
                (best.1, best.2) = (rank, server.entry.address);
            }
        }
        let largest = regions
            .into_iter()
            .max_by_key(|(name, best)| (best.0, *name))?;
        Some(largest.1.2)
    }

    /// Returns the server that all instances of the region prefer for a prefix.
    fn preferred(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        prefix: u64,
    ) -> Option<BackendName> {
        self.servers
            .iter()
            .filter(|(_, server)| {
                server.is_candidate(now, req, &self.evacuated) && !server.cold.is_cold(now)
            })
            .map(|(id, _)| id)
            .max_by_key(|id| affinity(id, prefix))
            .cloned()
    }
}

impl Server {
    fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.entry.leaving
            && !self.health.is_paused(now)
            && self.held_until.is_none_or(|until| now < until)
    }

    fn is_candidate(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        evacuated: &Set<DomainName>,
    ) -> bool {
        self.entry.service == *req.service
            && self.is_usable(now)
            && (req.is_local)(&self.entry.domain)
            && !evacuated.contains(&self.entry.domain)
            && !req.avoid.contains(&self.entry.id)
            && !(self.health.is_doubtful() && self.load.own_requests > 0)
    }

    fn wait_ms(&self, now: MonotonicTime) -> f64 {
        let requests = self.load.requests(now);
        self.latency
            .predict_ms(self.load.pending(now), 0, requests, self.entry.slots)
    }

    fn assess(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        cached: bool,
    ) -> (f64, ServerPick) {
        let shared = if cached { req.work.shared_tokens() } else { 0 };
        let tokens = req.work.prompt_tokens.saturating_sub(shared);
        let requests = self.load.requests(now);
        let pending = self.load.pending(now);
        let slots = self.entry.slots;
        let expected = self.latency.predict_ms(pending, tokens, requests, slots);
        let crowding = f64::from(requests) / f64::from(slots.max(1));
        let crowded = if crowding > COMFORT {
            expected * (crowding - COMFORT)
        } else {
            0.0
        };
        let reread = if cached {
            0.0
        } else {
            REREAD_WEIGHT * req.work.shared_tokens() as f64 / PREFILL_TOKENS_PER_MS
        };
        let score = expected
            + reread
            + crowded
            + crowding * 5.0
            + self.health.failure_share(now) * FAILURE_PENALTY_MS;
        let pick = ServerPick {
            id: self.entry.id.clone(),
            address: self.entry.address,
            expected: Duration::from_secs_f64(expected / 1_000.0),
            uncorrected_ms: self.latency.plain_ms(pending, tokens, requests, slots),
            requests,
            tokens,
            copy_from: None,
        };
        (score, pick)
    }
}

/// Returns the rank of a server for a prefix; of the usable ones, the highest is preferred.
fn affinity(id: &BackendName, prefix: u64) -> u64 {
    stable_hash(&[id.as_str().as_bytes(), &prefix.to_le_bytes()])
}

/// Draws whether a server is in the sample of one choice, of which `share` are.
fn is_sampled(id: &BackendName, instance: &InstanceName, choice: u64, share: f64) -> bool {
    let choice = choice.to_le_bytes();
    let drawn = stable_hash(&[
        instance.as_str().as_bytes(),
        &choice,
        id.as_str().as_bytes(),
    ]);
    drawn as f64 / u64::MAX as f64 <= share
}

/// Returns whether this instance may send to a cold server, and how many instances may.
fn cold_sender(id: &BackendName, req: &PlacementRequest<'_>) -> (bool, usize) {
    let senders = req.region_instances.len().min(COLD_SENDERS);
    let rank = |name: &str| stable_hash(&[id.as_str(), name]);
    let own = rank(req.instance.as_str());
    let before = req
        .region_instances
        .iter()
        .filter(|name| **name != *req.instance && rank(name.as_str()) > own)
        .count();
    (before < COLD_SENDERS, senders.max(1))
}
