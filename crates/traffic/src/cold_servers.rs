//! Backend servers that become cold while the store does not show it.
//!
//! A server can become cold at any moment. Its entry in the store says so, but an instance that cannot
//! read the store, or reads entries that were written before an outage, would take it for a warm one.
//! Then the servers are asked themselves.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{BackendName, DomainName, MonotonicTime, ServiceName};

use crate::{ServerTable, listed_server::ListedServer, server_table::RECOVERY_GRACE};

/// Age of the list from which servers may have become cold without being listed as such.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_200);

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
}

impl ServerTable {
    /// Returns the servers that may have become cold although the list does not show it: it is old, or
    /// its entries may have been written before an outage.
    ///
    /// Servers that this instance could not reach are among them. It takes them for cold ones, but the
    /// other instances may not.
    pub fn servers_to_ask(
        &self,
        now: MonotonicTime,
        is_local: impl Fn(&DomainName) -> bool,
    ) -> Vec<UnknownServer> {
        let is_current = self.age(now).is_none_or(|age| age < MAX_LIST_AGE);
        if is_current && now >= self.entries_current_from {
            return Vec::new();
        }
        let is_unknown = |server: &&ListedServer| {
            let entry = &server.entry;
            !entry.leaving
                && now >= server.stated_cold_until
                && is_local(&entry.domain)
                && !self.evacuated.contains(&entry.domain)
                && !self.cold_duration(&entry.service).is_zero()
        };
        self.servers
            .values()
            .filter(is_unknown)
            .map(|server| UnknownServer {
                id: server.entry.id.clone(),
                service: server.entry.service.clone(),
                address: server.entry.address,
                started_ms: server.entry.started_ms,
            })
            .collect()
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
        server.cold.extend(now, cold.remaining);
        is_new
    }

    /// Records a read of the list whose response arrived at `now`. Its entries may be as old as the
    /// time without a list before.
    pub(crate) fn record_entry_age(&mut self, now: MonotonicTime) {
        if self.age(now).is_some_and(|age| age >= MAX_LIST_AGE) {
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
