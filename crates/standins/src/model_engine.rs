//! Model engine.

use std::{io, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    EngineCounters, EngineFaults, EngineLoad, EngineSettings, engine_endpoint::EngineEndpoint,
    engine_state::EngineState, running_server::RunningServer,
};

/// Model engine that runs in this process until it is stopped or dropped.
#[derive(Debug)]
pub struct ModelEngine {
    server: RunningServer,
    state: Arc<Mutex<EngineState>>,
}

impl ModelEngine {
    /// Starts an engine on `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
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

    /// Returns the present load, without the lag of the reports.
    pub fn load(&self) -> EngineLoad {
        self.state.lock().load().clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().set_faults(Instant::now(), faults);
    }

    /// Finishes the requests in flight for up to 2 s; returns whether all ended.
    pub async fn stop(self) -> bool {
        self.server.stop().await
    }
}
