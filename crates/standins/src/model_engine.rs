//! Stand-in for a model engine.

use std::{io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    EngineCounters, EngineFaults, EngineLoad, EngineSettings, engine_endpoint::EngineEndpoint,
    engine_state::EngineState, running_server::RunningServer,
};

/// Stand-in for a model engine; runs in this process until it is stopped or dropped.
#[derive(Debug)]
pub struct ModelEngine {
    server: RunningServer,
    state: Arc<Mutex<EngineState>>,
}

impl ModelEngine {
    /// Starts an engine on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the runtime cannot be created or the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(EngineState::new(&settings, Instant::now())));
        let endpoint = Arc::new(EngineEndpoint::new(settings, &state));
        let server = RunningServer::start(address, &endpoint, std::future::ready(())).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters.
    pub fn counters(&self) -> EngineCounters {
        self.state.lock().counters
    }

    /// Returns the current load, without the delay of the load reports.
    pub fn load(&self) -> EngineLoad {
        self.state.lock().load().clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().set_faults(Instant::now(), faults);
    }

    /// Stops the engine after up to 2 s for the requests in flight; returns whether all ended.
    pub async fn stop(self) -> bool {
        self.server.stop().await
    }
}
