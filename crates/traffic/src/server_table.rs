//! Backend servers with their load and health.

use std::time::Duration;

use hawthornquay_decisions::{BackendName, DomainName, Map, MonotonicTime, ServiceName, Set};

use crate::{
    Admissions, BackendEntry, ColdStartLimiter, Configuration, EventRate, LatencyModel,
    LeavingServer, RampCause, RecentPrefixes, ServerChanges, ServerFailure, ServerHealth,
    ServerListing, ServerLoad, ServerPace, ServerPick, StoreRevision,
    cold_servers::{Doubt, DoubtCause, MAX_LISTING_DELAY},
    departed_servers::DepartedServers,
    listed_server::ListedServer,
    ramping_servers::RampLog,
    removal_log::RemovalLog,
    server_ramp::ServerRamp,
    service_model::ServiceModel,
};

/// Time after the store's recovery during which what is missing from it stays in use. What is still
/// valid has been written again by then.
pub(crate) const RECOVERY_GRACE: Duration = Duration::from_millis(2_400);

/// Time before the end of the grace period at which the list is read once more. Servers that have
/// registered again by then are found before they would be dropped.
const LAST_READ_LEAD: Duration = Duration::from_millis(350);

/// Minimum time between two reads of the list for the store to count as having been unavailable.
const STORE_OUTAGE_AGE: Duration = Duration::from_millis(2_500);

/// Time after the first list of a process in which servers that are listed anew may have been running
/// for long: they register in any order when a whole deployment starts.
const FIRST_LISTS_TIME: Duration = Duration::from_secs(5);

/// Minimum extension of a server's cold time that is passed on to other instances.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(100);

/// Listed backend servers with their load and health, and the evacuated failure domains.
#[derive(Default)]
pub struct ServerTable {
    revision: StoreRevision,
    /// Store revision of the last list that differed from the one before, or of the first list of an
    /// era.
    changed_revision: StoreRevision,
    removals: RemovalLog<BackendName>,
    pub(crate) departed: DepartedServers,
    pub(crate) announced: Vec<(MonotonicTime, LeavingServer)>,
    /// End of the time in which entries may be those of an older copy of the store.
    copy_until: MonotonicTime,
    pub(crate) servers: Map<BackendName, ListedServer>,
    pub(crate) evacuated: Set<DomainName>,
    /// Time at which the last evacuation of each failure domain ended.
    pub(crate) taken_back: Map<DomainName, MonotonicTime>,
    /// Services whose servers are model engines.
    pub(crate) engines: Set<ServiceName>,
    /// Time for which the servers of each service are cold after their start.
    pub(crate) cold_durations: Map<ServiceName, Duration>,
    /// Time from which the entries of the list are not older than its last outage.
    pub(crate) entries_current_from: MonotonicTime,
    /// Number of requests, running or queued, with which a full engine of each service has last
    /// rejected another one, or more if one has accepted more since.
    pub(crate) full_levels: Map<ServiceName, u32>,
    /// What is known of the servers of each service together.
    pub(crate) models: Map<ServiceName, ServiceModel>,
    /// Requests that servers accepted and rejected since the counts were last taken.
    pub(crate) admissions: Map<ServiceName, Admissions>,
    /// Starts and ends of ramps that have not been taken.
    pub(crate) ramps: RampLog,
    /// Number of picks so far, so that the sample differs from pick to pick.
    pub(crate) picks: u64,
    /// Time of the first list of this process.
    first_list_at: Option<MonotonicTime>,
    /// Time at which the list was last known to be current.
    read_at: Option<MonotonicTime>,
    /// Time of the first read after the store's last outage.
    recovered_at: Option<MonotonicTime>,
}

impl ServerTable {
    /// Returns the store revision of the current list, or zero before the first list.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the age of the current list, or `None` before the first list.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns whether the list has to be read before the grace period of missing servers ends.
    pub fn is_last_read_due(&self, now: MonotonicTime) -> bool {
        let Some(recovered_at) = self.recovered_at else {
            return false;
        };
        let due = recovered_at + (RECOVERY_GRACE - LAST_READ_LEAD);
        now >= due
            && self.read_at < Some(due)
            && self.servers.values().any(|one| one.kept_until.is_some())
    }

    /// Records that the list was still current at `read_at`.
    pub fn confirm(&mut self, read_at: MonotonicTime) {
        self.record_read(read_at, read_at);
    }

    /// Replaces the list by one read at `read_at`, and returns the changes as text for the log.
    ///
    /// A list of an older revision is ignored. After an outage of the store, servers that are
    /// missing from the list stay in use for a grace period, because their entries may have expired
    /// during the outage.
    pub fn apply_listing(
        &mut self,
        now: MonotonicTime,
        read_at: MonotonicTime,
        listing: &ServerListing,
    ) -> Vec<String> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        self.record_read(now, read_at);
        let first_listed_at = self.revision.is_absent().then_some(now);
        self.first_list_at = self.first_list_at.or(Some(now));
        if self.revision.is_replaced_by(listing.revision) {
            // The older copy may lack servers that have not registered again yet.
            self.recovered_at = Some(now);
            self.copy_until = now + RECOVERY_GRACE;
            // What registers again was written to the history that is lost now.
            for server in self.servers.values_mut() {
                server.kept_until = server.kept_until.map(|_| now + RECOVERY_GRACE);
            }
            self.changed_revision = listing.revision;
        }
        self.revision = listing.revision;
        self.removals.start(listing.revision);
        let mut changes = Vec::new();
        let current = listing.servers.iter();
        let current: Vec<_> = current.filter(|one| !self.is_former(now, one)).collect();
        for entry in &current {
            self.apply_entry(now, entry, &mut changes);
        }
        if first_listed_at.is_some() {
            for server in self.servers.values_mut() {
                server.first_listed_at = first_listed_at;
                server.ramp = ServerRamp::default();
                server.doubt = Some(Doubt::new(now, DoubtCause::FirstList));
            }
            self.assume_cold();
        }
        let listed: Set<&BackendName> = current.iter().map(|entry| &entry.id).collect();
        self.remove_missing(now, |id| listed.contains(id), &mut changes);
        changes
    }

    /// Applies the changes since an earlier list, and returns them as text for the log.
    ///
    /// Changes that do not continue the current list, or lead to an older one, are ignored.
    pub fn apply_changes(
        &mut self,
        now: MonotonicTime,
        read_at: MonotonicTime,
        changes: &ServerChanges,
    ) -> Vec<String> {
        if changes.base > self.revision
            || changes.revision < self.revision
            || self.revision.is_absent()
        {
            return Vec::new();
        }
        self.record_read(now, read_at);
        self.revision = changes.revision;
        let mut log = Vec::new();
        for entry in &changes.changed {
            self.apply_entry(now, entry, &mut log);
        }
        let removed: Set<&BackendName> = changes.removed.iter().collect();
        let kept: Set<BackendName> = self
            .servers
            .iter()
            .filter(|(_, server)| server.kept_until.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        self.remove_missing(
            now,
            |id| !removed.contains(id) && !kept.contains(id),
            &mut log,
        );
        log
    }

    /// Returns the changes after the list of `revision`, or `None` if they are not known so far
    /// back, as in another era.
    pub fn changes_since(
        &self,
        now: MonotonicTime,
        revision: StoreRevision,
    ) -> Option<ServerChanges> {
        let is_listed = |id: &BackendName| {
            let server = self.servers.get(id);
            server.is_some_and(|server| server.kept_until.is_none())
        };
        let removed = self.removals.since(revision)?;
        let removed: Set<&BackendName> = removed.filter(|id| !is_listed(id)).collect();
        Some(ServerChanges {
            base: revision,
            revision: self.revision,
            changed: self
                .listed_entries(now, |server| server.changed_at > revision)
                .collect(),
            removed: removed.into_iter().cloned().collect(),
        })
    }

    /// Returns the store revision of the last list that differed from the one before.
    pub const fn changed_revision(&self) -> StoreRevision {
        self.changed_revision
    }

    /// Records that the list has not changed up to the store revision `revision`, and was still
    /// current at `read_at`.
    pub fn confirm_revision(&mut self, revision: StoreRevision, read_at: MonotonicTime) {
        self.revision = self.revision.max(revision);
        self.record_read(read_at, read_at);
    }

    /// Removes the servers that are not listed, or keeps them for the grace period.
    fn remove_missing(
        &mut self,
        now: MonotonicTime,
        is_listed: impl Fn(&BackendName) -> bool,
        changes: &mut Vec<String>,
    ) {
        let grace_end = self.recovered_at.map(|at| at + RECOVERY_GRACE);
        let revision = self.revision;
        self.servers.retain(|id, server| {
            if is_listed(id) {
                return true;
            }
            if server.kept_until.is_none() {
                self.changed_revision = revision;
                self.removals.record(revision, id.clone());
            }
            // The end of the grace period is set at the first absence, so that another outage does
            // not extend it.
            server.kept_until = server.kept_until.or(grace_end);
            let kept = server.kept_until.is_some_and(|until| now < until);
            if !kept {
                changes.push(format!("{id} gone"));
                self.departed.record(now, server);
            }
            kept
        });
    }

    /// Returns the listed entries for which `is_included` returns true, with the remaining cold
    /// times as of `now`.
    fn listed_entries(
        &self,
        now: MonotonicTime,
        is_included: impl Fn(&ListedServer) -> bool,
    ) -> impl Iterator<Item = BackendEntry> {
        self.servers
            .values()
            .filter(move |server| server.kept_until.is_none() && is_included(server))
            .map(move |server| BackendEntry {
                cold_remaining: server.cold.remaining(now),
                ..server.entry.clone()
            })
    }

    /// Returns the list to send to other instances, with the remaining cold times as of `now`.
    ///
    /// Servers that are missing from the store's list are left out, because they may be gone.
    pub fn listing(&self, now: MonotonicTime) -> ServerListing {
        ServerListing {
            revision: self.revision,
            servers: self.listed_entries(now, |_| true).collect(),
        }
    }

    /// Applies a configuration, which defines the services with model engines and the cold times.
    ///
    /// Servers that were listed before the configuration was known are updated.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.engines = configuration
            .services
            .iter()
            .filter(|(_, service)| service.engine.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        self.cold_durations = configuration
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.cold_duration))
            .collect();
        for server in self.servers.values_mut() {
            let engine = self.engines.contains(&server.entry.service);
            server.latency.set_engine(engine);
        }
        self.assume_cold();
    }

    /// Returns whether the picked server may still get the request: since the choice, it may have become
    /// cold or asked for a pause, or other requests may have used its cold rate.
    pub fn may_send(&mut self, now: MonotonicTime, pick: &ServerPick) -> bool {
        let server = self.servers.get_mut(&pick.id);
        server.is_none_or(|server| {
            server.takes_requests(now) && server.cold.still_allows(now, pick.is_cold)
        })
    }

    /// Records that a request is sent to the picked server; `prefix` is the hash of its shared
    /// prefix.
    pub fn record_sent(&mut self, now: MonotonicTime, pick: &ServerPick, prefix: Option<u64>) {
        let Some(server) = self.servers.get_mut(&pick.id) else {
            return;
        };
        server.load.record_sent(pick.uncached_tokens);
        server.cold.record_sent(now);
        server.ramp.record_sent();
        if let Some(prefix) = prefix {
            server.prefixes.record(now, prefix);
        }
    }

    /// Records a successful response.
    pub fn record_success(&mut self, now: MonotonicTime, id: &BackendName) {
        if let Some(server) = self.servers.get_mut(id) {
            if server.health.was_unreachable() {
                server.ramp.restart(RampCause::Reachable);
            }
            server.health.record_success(now);
        }
    }

    /// Records a failure. A server whose connection failed may have started again, so it is asked whether
    /// it is cold. An unreachable one counts as cold until it answers, or until the list shows what has
    /// become of it.
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
        let service = configuration.service(&server.entry.service);
        if service.is_none_or(|service| service.cold_duration.is_zero()) {
            return;
        }
        match failure {
            ServerFailure::Unreachable => {
                server.cold.assume_until(now + MAX_LISTING_DELAY);
                server.doubt = Some(Doubt::new(now, DoubtCause::Failure));
            }
            ServerFailure::Interrupted => {
                server.doubt = Some(Doubt::new(now, DoubtCause::Failure));
            }
            ServerFailure::BadResponse => {}
        }
    }

    /// Returns whether a server is listed and is not leaving.
    pub fn is_active(&self, id: &BackendName) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| !server.entry.leaving && server.kept_until.is_none())
    }

    /// Removes a server because another process answers at its address.
    pub fn remove_replaced(&mut self, now: MonotonicTime, id: &BackendName) {
        if let Some(server) = self.servers.remove(id) {
            self.departed.record(now, &server);
        }
    }

    /// Records the remaining cold time that a server reports with a response.
    pub fn record_cold_report(
        &mut self,
        now: MonotonicTime,
        id: &BackendName,
        remaining: Duration,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cold.extend(now, remaining);
        }
    }

    /// Returns the number of servers in the table.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Updates the time of the last read, and detects the end of an outage of the store.
    ///
    /// An outage may end while a read waits for its response, so it lasts until the response at `now`.
    fn record_read(&mut self, now: MonotonicTime, read_at: MonotonicTime) {
        self.record_entry_age(now);
        if self.age(now).is_some_and(|age| age >= STORE_OUTAGE_AGE) {
            self.recovered_at = Some(now);
        }
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Returns whether an entry is that of an earlier process than the known one, as an older copy of
    /// the store may hold.
    fn is_former(&self, now: MonotonicTime, entry: &BackendEntry) -> bool {
        let known = self.servers.get(&entry.id);
        now < self.copy_until && known.is_some_and(|one| entry.started_ms < one.entry.started_ms)
    }

    /// Adds or updates a listed server; a restarted one starts without load and health data.
    fn apply_entry(&mut self, now: MonotonicTime, entry: &BackendEntry, changes: &mut Vec<String>) {
        let engine = self.engines.contains(&entry.service);
        if let Some(server) = self.servers.get_mut(&entry.id)
            && server.entry.started_ms == entry.started_ms
            && server.entry.address == entry.address
            && server.entry.service == entry.service
        {
            if entry.leaving && !server.entry.leaving {
                changes.push(format!("{} leaving", entry.id));
            }
            let updated = BackendEntry {
                leaving: server.entry.leaving || entry.leaving,
                cold_remaining: Duration::ZERO,
                ..entry.clone()
            };
            let colder = entry.cold_remaining > server.cold.remaining(now) + MIN_COLD_EXTENSION;
            if server.kept_until.take().is_some() || colder || updated != server.entry {
                server.changed_at = self.revision;
                self.changed_revision = self.revision;
            }
            server.entry = updated;
            server.cold.extend(now, entry.cold_remaining);
            return;
        }
        let cold_remaining = self.assumed_cold_time(now, entry);
        let departed = self.departed.find(entry);
        let former = self.servers.get(&entry.id);
        let former = former.filter(|one| one.entry.started_ms == entry.started_ms);
        let stated = former.map(|one| (one.limit, one.pause));
        let stated = stated.or(departed.map(|one| (one.limit, one.pause)));
        let (limit, pause) = stated.unwrap_or_default();
        changes.push(format!("{} at {}", entry.id, entry.address));
        let is_settled = |first: MonotonicTime| now.since(first) >= FIRST_LISTS_TIME;
        let ramp = match self.first_list_at.is_some_and(is_settled) {
            true => ServerRamp::due(RampCause::Listed),
            false => ServerRamp::default(),
        };
        let mut cold = ColdStartLimiter::default();
        cold.extend(now, cold_remaining);
        self.changed_revision = self.revision;
        let server = ListedServer {
            entry: BackendEntry {
                cold_remaining: Duration::ZERO,
                leaving: entry.leaving || departed.is_some_and(|one| one.leaving),
                ..entry.clone()
            },
            usable_from: departed.map_or(MonotonicTime(0), |_| self.copy_until),
            load: ServerLoad::default(),
            health: ServerHealth::default(),
            cold,
            ramp,
            stated_cold_until: MonotonicTime(0),
            first_listed_at: None,
            doubt: None,
            limit,
            pause,
            latency: LatencyModel::new(engine),
            pace: ServerPace::default(),
            events: EventRate::default(),
            prefixes: RecentPrefixes::default(),
            kept_until: None,
            changed_at: self.revision,
        };
        self.servers.insert(entry.id.clone(), server);
    }
}
