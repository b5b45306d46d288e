//! Instance addresses that the load generator sends requests to.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::time::Instant;

use crate::{LoadPlan, load_client::LoadClient, load_request::LoadRequest};

/// Delay after which a failed fetch of an address list is repeated.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Addresses from the plan, or the address lists that instances return for each organisation.
#[derive(Debug)]
pub(crate) struct InstanceAddresses {
    /// Addresses from the plan.
    fixed: Vec<SocketAddr>,
    uses_discovery: bool,
    next_start: AtomicUsize,
    /// Expiry and addresses of the list of each organisation; the last entry is for requests
    /// without a key.
    lists: Mutex<Vec<(Instant, Vec<SocketAddr>)>>,
}

impl InstanceAddresses {
    pub(crate) fn new(plan: &LoadPlan) -> Self {
        let undiscovered = (Instant::now(), Vec::new());
        Self {
            fixed: plan.instances.clone(),
            uses_discovery: plan.discover,
            next_start: AtomicUsize::new(0),
            lists: Mutex::new(vec![undiscovered; plan.organisations.len() + 1]),
        }
    }

    /// Returns the addresses for `request`, in the order in which they are tried.
    pub(crate) async fn choose(
        &self,
        client: &LoadClient,
        request: &LoadRequest,
    ) -> Vec<SocketAddr> {
        if !self.uses_discovery {
            return self.round_robin();
        }
        let index = request.organisation.unwrap_or(self.lists.lock().len() - 1);
        let now = Instant::now();
        let expired = {
            let list = &mut self.lists.lock()[index];
            let expired = list.0 <= now;
            if expired {
                // Other requests keep using the expired list while this one fetches a new list.
                list.0 = now + DISCOVERY_RETRY_DELAY;
            }
            expired
        };
        if expired && let Some(found) = self.discover(client, request.key.as_deref()).await {
            let expires_at = Instant::now() + Duration::from_millis(found.ttl_ms);
            let addresses = found
                .instances
                .into_iter()
                .map(|entry| entry.address)
                .collect();
            self.lists.lock()[index] = (expires_at, addresses);
        }
        let list = self.lists.lock()[index].1.clone();
        if list.is_empty() {
            self.round_robin()
        } else {
            list
        }
    }

    async fn discover(&self, client: &LoadClient, key: Option<&str>) -> Option<DiscoveredList> {
        for address in self.round_robin() {
            let value = client.get(address, "/v1/instances", key).await;
            let list = value.and_then(|value| serde_json::from_value(value).ok());
            if list.is_some() {
                return list;
            }
        }
        None
    }

    fn round_robin(&self) -> Vec<SocketAddr> {
        let mut addresses = self.fixed.clone();
        let start = self.next_start.fetch_add(1, Ordering::Relaxed);
        addresses.rotate_left(start % self.fixed.len().max(1));
        addresses
    }
}

/// Body of the response to `GET /v1/instances`.
#[derive(Debug, Deserialize)]
struct DiscoveredList {
    ttl_ms: u64,
    instances: Vec<DiscoveredInstance>,
}

#[derive(Debug, Deserialize)]
struct DiscoveredInstance {
    #[serde(alias = "callers")]
    address: SocketAddr,
}
