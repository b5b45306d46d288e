//! Stand-in for the platform.

use std::{io, net::SocketAddr, sync::Arc};

use hawthornquay_decisions::InstanceRecord;

use crate::{
    PlatformCounters, PlatformFaults, PlatformSettings, platform_core::PlatformCore,
    platform_endpoint::PlatformEndpoint, running_server::RunningServer,
};

/// Stand-in for the platform; runs in this process until it is stopped or dropped.
#[derive(Debug)]
pub struct Platform {
    server: RunningServer,
    core: Arc<PlatformCore>,
}

impl Platform {
    /// Starts a platform on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the runtime cannot be created or the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let core = Arc::new(PlatformCore::new(settings));
        let endpoint = Arc::new(PlatformEndpoint::new(&core));
        let background = Arc::clone(&core).expire_leases();
        let server = RunningServer::start(address, &endpoint, background).await?;
        Ok(Self { server, core })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters.
    pub fn counters(&self) -> PlatformCounters {
        self.core.with_state(|state, _| state.counters())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.core.set_faults(faults);
    }

    /// Keeps a copy of the store, which replaces an earlier copy.
    pub fn copy_store(&self) {
        self.core.with_state(|state, _| state.copy_store());
    }

    /// Returns the store to its last copy, as after a loss of acknowledged writes, and begins a new
    /// era; returns false if no copy was made.
    ///
    /// Calls in progress lose their connection, and waiting watches are refused.
    pub fn restore_store(&self) -> bool {
        self.core.restore_store()
    }

    /// Sets the record of an instance; its `state_age_ms` is ignored.
    pub fn set_instance(&self, record: InstanceRecord) {
        let name = record.name.to_string();
        self.core
            .with_state(|state, now| state.instances.set(now, &name, Some(record)));
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.core
            .with_state(|state, now| state.instances.set(now, name, None));
    }

    /// Stops the platform after up to 2 s for the calls in flight; returns whether all ended.
    pub async fn stop(self) -> bool {
        self.server.stop().await
    }
}
