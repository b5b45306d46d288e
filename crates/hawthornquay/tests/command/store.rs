//! Platform stand-in for one test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use hawthornquay_decisions::{InstanceRecord, InstanceState};
use hawthornquay_standins::{Platform, PlatformFaults, PlatformSettings};
use hawthornquay_store::{CallTimeouts, PlatformClient, PlatformError, StoreRevision};
use tokio::runtime::{Builder, Runtime};

/// Platform stand-in that runs in the test process.
pub struct TestPlatform {
    pub runtime: Runtime,
    platform: Platform,
}

impl TestPlatform {
    /// Starts a platform whose instance list has no lag.
    pub fn start() -> Self {
        Self::with(PlatformSettings {
            list_lag: Duration::ZERO,
            ..PlatformSettings::default()
        })
    }

    /// Starts a platform with these settings.
    pub fn with(settings: PlatformSettings) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let platform = runtime.block_on(Platform::start(any_port, settings));
        Self {
            runtime,
            platform: platform.unwrap(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.platform.address()
    }

    pub fn set_faults(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    /// Adds an instance to the instance list, or updates its entry.
    pub fn list_instance(&self, name: &str, operators: SocketAddr, state: InstanceState) {
        self.platform.set_instance(InstanceRecord {
            name: name.into(),
            region: "lagos".into(),
            domain: "lagos-a".into(),
            callers: operators,
            peers: operators,
            operators,
            state,
            state_age_ms: 0,
        });
    }

    /// Returns the value of a key, if it exists.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        match self.runtime.block_on(self.client().get(key)) {
            Ok(entry) => Some(entry.value.to_vec()),
            Err(PlatformError::NotFound) => None,
            Err(error) => panic!("{error}"),
        }
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let listing = self.runtime.block_on(self.client().list(prefix)).unwrap();
        listing.entries.into_iter().map(|entry| entry.key).collect()
    }

    /// Writes a value, whether or not the key exists.
    pub fn write(&self, key: &str, value: &str) {
        let client = self.client();
        self.runtime.block_on(async {
            let revision = match client.get(key).await {
                Ok(entry) => entry.revision,
                Err(_) => StoreRevision::ABSENT,
            };
            let written = client
                .compare_and_swap(key, value.as_bytes(), revision, None)
                .await;
            written.unwrap();
        });
    }

    fn client(&self) -> PlatformClient {
        PlatformClient::new(self.address(), CallTimeouts::default())
    }
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Returns the names and settings of faults under which reads of the platform fail.
pub fn read_faults() -> [(&'static str, PlatformFaults); 2] {
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let slow = PlatformFaults {
        delay_ms: 60_000,
        ..PlatformFaults::default()
    };
    [("outage", outage), ("slow", slow)]
}
