//! Backend servers that become cold while the store does not show it.
//!
//! A server can become cold at any moment. Its entry in the store says so, but an instance that cannot
//! read the store, or reads entries that were written before an outage, would take it for a warm one.
//! So would a process that has just started, whose first list may contain entries that were written
//! before, and an instance whose connection to a server has failed, which may have started again. Then
//! the servers are asked themselves.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, DomainName, MonotonicTime, ServiceName, Set};

use crate::{BackendEntry, ServerTable, listed_server::ListedServer, server_table::RECOVERY_GRACE};

/// Age of the list from which servers may have become cold without being listed as such.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_200);

/// Longest time until the list shows that a server has started again or is gone: three heartbeats of
/// silence, and the delays of the store and of the next read.
pub(crate) const MAX_LISTING_DELAY: Duration = Duration::from_millis(5_000);

/// Time between the first two questions to a server that does not answer. It doubles up to the longest
/// one. A server that starts again takes requests as a warm one until it is asked.
const FIRST_QUESTION_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two questions to a server that does not answer.
const MAX_QUESTION_INTERVAL: Duration = Duration::from_millis(800);

/// Process of a backend server that has stated that it is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdServer {
    /// Identifier of the server.
    pub id: BackendName,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
    /// Time for which it stays cold.
    pub remaining: Duration,
}

/// Backend server that has to be asked whether it is cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownServer {
    /// Identifier of the server.
    pub id: BackendName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
    /// Whether the other instances of the region have to know that it is cold. After a start, each asks
    /// for itself.
    pub is_shared: bool,
}

/// Why a server may be cold, or another process, although nothing says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DoubtCause {
    /// It was in the first list of this process.
    FirstList,
    /// A connection to it failed.
    Failure,
}

/// Doubt about the state of a server, until it is asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Doubt {
    cause: DoubtCause,
    since: MonotonicTime,
    next_question_at: MonotonicTime,
    question_interval: Duration,
}

impl Doubt {
    pub(crate) const fn new(since: MonotonicTime, cause: DoubtCause) -> Self {
        Self {
            cause,
            since,
            next_question_at: since,
            question_interval: FIRST_QUESTION_INTERVAL,
        }
    }
}

impl ListedServer {
    /// Returns why the server has to be asked now, and sets the time of the next question.
    fn take_question(&mut self, now: MonotonicTime) -> Option<DoubtCause> {
        let doubt = self.doubt.as_mut()?;
        if now.since(doubt.since) >= MAX_LISTING_DELAY {
            self.doubt = None;
            return None;
        }
        if now < doubt.next_question_at {
            return None;
        }
        doubt.next_question_at = now + doubt.question_interval;
        doubt.question_interval = (doubt.question_interval * 2).min(MAX_QUESTION_INTERVAL);
        Some(doubt.cause)
    }

    /// Records that the server has stated its state.
    fn end_doubt(&mut self) {
        self.doubt = None;
        self.first_listed_at = None;
        self.cold.end_assumption();
    }
}

impl ServerTable {
    /// Returns the servers that this instance has to ask whether they are cold.
    ///
    /// Each instance asks the servers of its first list, and those to which a connection has failed. The
    /// instance that `leads` its region also asks all servers while they may have become cold although
    /// the list does not show it: it is old, or its entries may have been written before an outage.
    /// Servers that it could not reach are among them. It takes them for cold ones, but the other
    /// instances may not.
    pub fn servers_to_ask(
        &mut self,
        now: MonotonicTime,
        leads: bool,
        is_local: impl Fn(&DomainName) -> bool,
    ) -> Vec<UnknownServer> {
        let is_current = self.age(now).is_none_or(|age| age < MAX_LIST_AGE);
        let asks_all = leads && !(is_current && now >= self.entries_current_from);
        let (evacuated, cold_durations) = (&self.evacuated, &self.cold_durations);
        let may_be_cold = |server: &ListedServer| {
            let entry = &server.entry;
            let cold_duration = cold_durations.get(&entry.service);
            !entry.leaving
                && server.pause.remaining(now).is_none()
                && now >= server.stated_cold_until
                && is_local(&entry.domain)
                && !evacuated.contains(&entry.domain)
                && cold_duration.is_some_and(|duration| !duration.is_zero())
        };
        let mut servers = Vec::new();
        for server in self.servers.values_mut() {
            if !may_be_cold(server) {
                continue;
            }
            let doubt = server.take_question(now);
            if asks_all || doubt.is_some() {
                servers.push(UnknownServer {
                    id: server.entry.id.clone(),
                    service: server.entry.service.clone(),
                    address: server.entry.address,
                    started_ms: server.entry.started_ms,
                    is_shared: asks_all || doubt == Some(DoubtCause::Failure),
                });
            }
        }
        servers
    }

    /// Returns whether servers have to be asked again soon, because they have not answered yet.
    pub fn has_doubt(&self, now: MonotonicTime) -> bool {
        let mut doubts = self.servers.values().filter_map(|server| server.doubt);
        doubts.any(|doubt| now.since(doubt.since) < MAX_LISTING_DELAY)
    }

    /// Records that a server has stated to this or another instance that it is cold; returns whether
    /// that was new.
    pub fn apply_cold(&mut self, now: MonotonicTime, cold: &ColdServer) -> bool {
        let Some(server) = self.servers.get_mut(&cold.id) else {
            return false;
        };
        if server.entry.started_ms != cold.started_ms || cold.remaining.is_zero() {
            return false;
        }
        let is_new = now >= server.stated_cold_until;
        server.stated_cold_until = now + cold.remaining;
        server.end_doubt();
        server.cold.extend(now, cold.remaining);
        is_new
    }

    /// Records that a server that was asked at `asked_at` has stated that it is warm.
    pub fn record_warm(&mut self, asked: &UnknownServer, asked_at: MonotonicTime) {
        let Some(server) = self.servers.get_mut(&asked.id) else {
            return;
        };
        // It may have failed again since, or another process may have been listed.
        let is_later = server.doubt.is_some_and(|doubt| doubt.since > asked_at);
        if server.entry.started_ms == asked.started_ms && !is_later {
            server.end_doubt();
        }
    }

    /// Takes the servers of the first list for cold ones until they have stated their state, or until
    /// they would be warm again if they had become cold just before the list was read.
    pub(crate) fn assume_cold(&mut self) {
        for server in self.servers.values_mut() {
            let duration = self.cold_durations.get(&server.entry.service);
            if let (Some(at), Some(duration)) = (server.first_listed_at, duration) {
                server.cold.assume_until(at + *duration);
            }
        }
    }

    /// Replaces the evacuated failure domains, whose servers get no requests, and returns whether
    /// they changed.
    ///
    /// Servers become cold while they get no requests, and those behind a partition cannot report
    /// it. All servers of a domain that is taken back count as cold.
    pub fn set_evacuated(&mut self, now: MonotonicTime, domains: &[DomainName]) -> bool {
        let domains: Set<DomainName> = domains.iter().cloned().collect();
        let changed = domains != self.evacuated;
        for server in self.servers.values_mut() {
            let domain = &server.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                let cold = self.cold_durations.get(&server.entry.service);
                server.cold.extend(now, cold.copied().unwrap_or_default());
            }
        }
        for domain in self.evacuated.difference(&domains) {
            self.taken_back.insert(domain.clone(), now);
        }
        self.evacuated = domains;
        changed
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns how long a new process counts as cold: also a known server that has started again, and
    /// one in a domain that has just been taken back, whose entry may be older than that.
    pub(crate) fn assumed_cold_time(&self, now: MonotonicTime, entry: &BackendEntry) -> Duration {
        let cold_duration = self.cold_duration(&entry.service);
        let restarted_at = self.servers.contains_key(&entry.id).then_some(now);
        let taken_back_at = self.taken_back.get(&entry.domain).copied();
        let cold_since = restarted_at.max(taken_back_at);
        let assumed = cold_since.map_or(Duration::ZERO, |at| {
            cold_duration.saturating_sub(now.since(at))
        });
        entry.cold_remaining.max(assumed)
    }

    /// Records a read of the list whose response arrived at `now`. Its entries may be as old as the
    /// time without a list before.
    pub(crate) fn record_entry_age(&mut self, now: MonotonicTime) {
        if self.age(now).is_none_or(|age| age >= MAX_LIST_AGE) {
            self.entries_current_from = now + RECOVERY_GRACE;
        }
    }

    /// Returns the time for which the servers of a service are cold after their start.
    pub(crate) fn cold_duration(&self, service: &ServiceName) -> Duration {
        self.cold_durations
            .get(service)
            .copied()
            .unwrap_or_default()
    }
}
