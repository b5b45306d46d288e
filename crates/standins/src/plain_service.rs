//! Stand-in for a plain service.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;

use crate::{
    ServiceFaults, running_server::RunningServer, service_endpoint::ServiceEndpoint,
    service_state::ServiceState,
};

/// Stand-in for a plain service, a backend server without a model; runs in this process until it
/// is stopped or dropped.
#[derive(Debug)]
pub struct PlainService {
    server: RunningServer,
    state: Arc<Mutex<ServiceState>>,
}

impl PlainService {
    /// Starts a service called `name` on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the runtime cannot be created or the address cannot be bound.
    pub async fn start(address: SocketAddr, name: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState::default()));
        let endpoint = Arc::new(ServiceEndpoint::new(name, &state));
        let server = RunningServer::start(address, &endpoint, std::future::ready(())).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how often each request was run, by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.lock().runs.clone()
    }

    /// Returns the number of requests with an `Authorization` header.
    pub fn keys_seen(&self) -> u64 {
        self.state.lock().keys_seen
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Stops the service after up to 2 s for the requests in flight; returns whether all ended.
    pub async fn stop(self) -> bool {
        self.server.stop().await
    }
}
