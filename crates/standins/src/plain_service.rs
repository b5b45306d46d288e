//! Plain service.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;

use crate::{
    ServiceFaults, running_server::RunningServer, service_endpoint::ServiceEndpoint,
    service_state::ServiceState,
};

/// Plain service that runs in this process until it is stopped or dropped.
#[derive(Debug)]
pub struct PlainService {
    server: RunningServer,
    state: Arc<Mutex<ServiceState>>,
}

impl PlainService {
    /// Starts a service with the name `name` on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
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

    /// Returns the number of runs by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.lock().runs.clone()
    }

    /// Returns the number of requests that carried an `Authorization` header.
    pub fn keys_seen(&self) -> u64 {
        self.state.lock().keys_seen
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Finishes the requests in flight for up to 2 s; returns whether all ended.
    pub async fn stop(self) -> bool {
        self.server.stop().await
    }
}
