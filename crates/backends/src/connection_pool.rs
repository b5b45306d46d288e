//! Pool of idle connections to backend servers.

use std::{net::SocketAddr, time::Instant};

use hawthornquay_decisions::Map;
use parking_lot::Mutex;

use crate::{ClientLimits, connection::OpenConnection};

/// Idle connections by address, ordered from least to most recently used.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    pub(crate) limits: ClientLimits,
    idle: Mutex<Map<SocketAddr, Vec<(OpenConnection, Instant)>>>,
}

impl ConnectionPool {
    pub(crate) fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    pub(crate) fn take(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some((connection, since)) = connections.pop() {
            if !connection.is_closed() && now.duration_since(since) < self.limits.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&self, address: SocketAddr, connection: OpenConnection) {
        if connection.is_closed() || self.limits.max_idle_connections == 0 {
            return;
        }
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() >= self.limits.max_idle_connections {
            connections.remove(0);
        }
        connections.push((connection, Instant::now()));
    }

    /// Closes all idle connections to `address`; called when a connection to it has failed.
    ///
    /// After some network faults, existing connections never deliver data again while new ones
    /// work. The idle connections use the same network path as the failed one.
    pub(crate) fn close_idle_to(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, connections| {
            connections.retain(|(connection, since)| {
                !connection.is_closed() && now.duration_since(*since) < self.limits.idle_timeout
            });
            !connections.is_empty()
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }
}
