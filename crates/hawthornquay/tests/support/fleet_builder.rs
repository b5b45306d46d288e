//! Builder of a fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use hawthornquay::{Daemon, PlatformStore};
use hawthornquay_decisions::{InstanceRecord, InstanceState};
use hawthornquay_instances::generate_test_authority;
use hawthornquay_operators::{
    AcceptRequest, BundleDocument, DaemonSettings, Logs, OperatorKey, accept_bundle,
    caller_key_digest, key_digest_text,
};
use hawthornquay_standins::{
    EngineSettings, ModelEngine, PlainService, Platform, PlatformSettings,
};
use hawthornquay_store::{CallTimeouts, PlatformClient};
use parking_lot::Mutex;
use tokio::net::TcpSocket;

use super::{FaultRelay, Fleet, LogBuffer, Network, wait_until};

/// Ports with five digits: a relay replaces addresses in responses, which must keep their length.
const LISTEN_PORTS: RangeInclusive<u16> = 10_000..=32_000;

const SALT: &str = "00112233445566778899aabbccddeeff";

/// Builder of a fleet; by default it has three instances in two regions.
pub struct FleetBuilder {
    /// Name, region and failure domain of each instance.
    instances: Vec<(String, String, String)>,
    engine: EngineSettings,
    engine_domains: Vec<String>,
    rate: u64,
    burst: u64,
    platform: PlatformSettings,
    idempotency_key: &'static str,
    extra_service_domains: Vec<String>,
    fault_relays: bool,
    extra_sections: String,
    logs: Option<LogBuffer>,
    region_relays: bool,
    program: Option<PathBuf>,
    service_domain: &'static str,
    extra_settings: String,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        let instance = |name: &str, region: &str, domain: &str| {
            (name.to_owned(), region.to_owned(), domain.to_owned())
        };
        Self {
            instances: vec![
                instance("lagos-1", "lagos", "lagos-a"),
                instance("lagos-2", "lagos", "lagos-a"),
                instance("kano-1", "kano", "kano-a"),
            ],
            engine: EngineSettings::default(),
            engine_domains: vec!["lagos-a".to_owned(), "kano-a".to_owned()],
            rate: 1_000_000,
            burst: 1_000_000,
            platform: PlatformSettings::default(),
            idempotency_key: "optional",
            extra_service_domains: Vec::new(),
            fault_relays: false,
            extra_sections: String::new(),
            logs: None,
            region_relays: false,
            program: None,
            service_domain: "lagos-a",
            extra_settings: String::new(),
        }
    }
}

impl FleetBuilder {
    pub fn engine(mut self, engine: EngineSettings) -> Self {
        self.engine = engine;
        self
    }

    pub fn engine_domains(mut self, domains: &[&str]) -> Self {
        self.engine_domains = domains.iter().map(|domain| (*domain).to_owned()).collect();
        self
    }

    /// Adds instances to a failure domain of the region Lagos.
    pub fn extra_instances(mut self, domain: &str, count: usize) -> Self {
        let region = "lagos".to_owned();
        for index in 0..count {
            let name = format!("{domain}-more-{index:02}");
            self.instances
                .push((name, region.clone(), domain.to_owned()));
        }
        self
    }

    /// Sets the rate in tokens per second and the burst in tokens of each organisation.
    pub fn limit(mut self, rate: u64, burst: u64) -> Self {
        (self.rate, self.burst) = (rate, burst);
        self
    }

    /// Runs each instance as a process of this program.
    pub fn processes(mut self, program: impl Into<PathBuf>) -> Self {
        self.program = Some(program.into());
        self
    }

    /// Sets `per_domain` instances in each of three regions, without relays between the regions.
    pub fn three_regions_of(mut self, per_domain: usize) -> Self {
        self = self.three_regions();
        self.region_relays = false;
        self.instances.clear();
        for region in ["lagos", "abuja", "kano"] {
            for number in 1..=per_domain {
                let name = format!("{region}-{number}");
                let domain = format!("{region}-a");
                self.instances.push((name, region.to_owned(), domain));
            }
        }
        self
    }

    /// Sets one instance, with one engine in its failure domain.
    pub fn one_instance(mut self) -> Self {
        self.instances.truncate(1);
        self.engine_domains.truncate(1);
        self
    }

    /// Adds sections to the settings of each instance.
    pub fn extra_settings(mut self, text: &str) -> Self {
        self.extra_settings += text;
        self
    }

    pub fn service_domain(mut self, domain: &'static str) -> Self {
        self.service_domain = domain;
        self
    }

    pub fn require_idempotency_key(mut self) -> Self {
        self.idempotency_key = "required";
        self
    }

    /// Adds a server of the plain service in each of these failure domains.
    pub fn extra_services(mut self, domains: &[&str]) -> Self {
        self.extra_service_domains = domains.iter().map(|domain| (*domain).to_owned()).collect();
        self
    }

    /// Puts a fault relay in front of each plain service and of each peer address of an instance.
    pub fn fault_relays(mut self) -> Self {
        self.fault_relays = true;
        self
    }

    /// Writes the log lines of level `info` and above to `logs`.
    pub fn logs(mut self, logs: &LogBuffer) -> Self {
        self.logs = Some(logs.clone());
        self
    }

    /// Adds sections to the bundle.
    pub fn extra_sections(mut self, text: &str) -> Self {
        self.extra_sections += text;
        self
    }

    /// Sets nine instances in three regions, with delay relays between the regions.
    pub fn three_regions(mut self) -> Self {
        self.instances.clear();
        self.engine_domains.clear();
        for region in ["lagos", "abuja", "kano"] {
            let domain = format!("{region}-a");
            for number in 1..=3 {
                let name = format!("{region}-{number}");
                self.instances
                    .push((name, region.to_owned(), domain.clone()));
            }
            self.engine_domains.push(domain);
        }
        self.region_relays = true;
        self
    }

    /// Starts everything and waits until each instance has the bundle and the slots have holders.
    pub async fn start(self) -> Fleet {
        let program = self.program.clone();
        let mut fleet = self.prepare().await;
        fleet.start_all(program.as_deref()).await;
        fleet
    }

    /// Starts the stand-ins and accepts the bundle, but starts no instance.
    pub async fn prepare(self) -> Fleet {
        let any: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
        let platform = Platform::start(any, self.platform.clone()).await.unwrap();
        let mut engines = Vec::new();
        for (index, domain) in self.engine_domains.iter().enumerate() {
            let name = format!("engine-{}", index + 1);
            let settings = EngineSettings {
                name: name.clone(),
                ..self.engine.clone()
            };
            engines.push((
                name,
                domain.clone(),
                ModelEngine::start(any, settings).await.unwrap(),
            ));
        }
        let service = PlainService::start(any, "bookings-1").await.unwrap();
        let mut services = vec![(self.service_domain.to_owned(), service)];
        for (index, domain) in self.extra_service_domains.iter().enumerate() {
            let name = format!("bookings-{}", index + 2);
            let service = PlainService::start(any, &name).await.unwrap();
            services.push((domain.clone(), service));
        }
        let mut service_relays = Vec::new();
        if self.fault_relays {
            for (_, service) in &services {
                service_relays.push(FaultRelay::start(service.address()).await);
            }
        }
        let signer = OperatorKey::generate().unwrap();
        let text = self.bundle_text(&engines, &services, &service_relays, &signer);
        let mut services = services.into_iter().map(|(_, service)| service);
        let service = services.next().unwrap();
        let client = PlatformClient::new(platform.address(), CallTimeouts::default());
        let mut fleet = Fleet {
            platform,
            engines: engines.into_iter().map(|(_, _, engine)| engine).collect(),
            service,
            extra_services: services.collect(),
            service_relays,
            link_relays: Vec::new(),
            ports: Vec::new(),
            settings_files: Vec::new(),
            logs: self.logs.clone(),
            signer,
            bundle_text: text,
            store_client: client,
            daemons: Vec::new(),
            settings: Vec::new(),
            network: Network::default(),
            processes: Vec::new(),
        };
        fleet.accept(1).await.unwrap();
        if self.region_relays {
            let regions: Vec<String> = self.instances.iter().map(|entry| entry.1.clone()).collect();
            fleet.network = Network::start(&regions).await;
        }
        fleet.ports = reserve_ports(3 * self.instances.len());
        self.write_settings(&mut fleet);
        if self.region_relays {
            let peers: Vec<SocketAddr> = fleet
                .settings
                .iter()
                .map(|settings| settings.instance.peers)
                .collect();
            fleet.network.set_targets(fleet.platform.address(), &peers);
        }
        if self.fault_relays {
            for settings in &fleet.settings {
                let relay = FaultRelay::start(settings.instance.peers).await;
                fleet.link_relays.push(relay);
            }
        }
        fleet
    }

    fn bundle_text(
        &self,
        engines: &[(String, String, ModelEngine)],
        services: &[(String, PlainService)],
        service_relays: &[FaultRelay],
        signer: &OperatorKey,
    ) -> String {
        let salt: Vec<u8> = (0..SALT.len() / 2)
            .map(|index| u8::from_str_radix(&SALT[2 * index..2 * index + 2], 16).unwrap())
            .collect();
        let digest = |key: &str| key_digest_text(&caller_key_digest(&salt, key));
        let mut text = format!(
            "[bundle]\nversion = 1\nsignatures_needed = 1\nkey_salt = {SALT}\nsigner.ada = {}\n\
             {}\
             [organisation kolanut]\nrate = {}\nburst = {}\nresidency = any\n\
             [organisation homebound]\nrate = {}\nburst = {}\nresidency = lagos\n\
             [key kolanut-1]\norganisation = kolanut\ndigest = {}\n\
             [key homebound-1]\norganisation = homebound\ndigest = {}\n\
             [route /v1/services/bookings]\nservice = bookings\nrepeatable = no\n\
             idempotency_key = {}\ncost = 1\n\
             [route /v1/services/lookups]\nservice = bookings\nrepeatable = yes\ncost = 1\n\
             [route /v1/services/open]\nservice = bookings\nopen = yes\norganisation = kolanut\n",
            signer.public_base64(),
            self.locations_text(),
            self.rate,
            self.burst,
            self.rate,
            self.burst,
            digest("key-kolanut"),
            digest("key-homebound"),
            self.idempotency_key,
        );
        for (index, (domain, service)) in services.iter().enumerate() {
            let relay = service_relays.get(index);
            let address = relay.map_or(service.address(), |relay| relay.address);
            text += &format!(
                "[backend bookings-{}]\nkind = plain-service\naddress = {address}\n\
                 domain = {domain}\nservice = bookings\n",
                index + 1,
            );
        }
        text += &self.extra_sections;
        for (name, domain, engine) in engines {
            text += &format!(
                "[backend {name}]\nkind = model-engine\naddress = {}\ndomain = {domain}\n\
                 models = ledger-7b\nfencing = yes\n",
                engine.address()
            );
        }
        text
    }

    fn locations_text(&self) -> String {
        let regions: BTreeSet<&str> = self
            .instances
            .iter()
            .map(|(_, region, _)| &**region)
            .collect();
        let domains: BTreeMap<&str, &str> = self
            .instances
            .iter()
            .map(|(_, region, domain)| (&**domain, &**region))
            .collect();
        let regions = regions.iter().map(|region| format!("[region {region}]\n"));
        let domains = domains.iter().map(|(domain, region)| {
            format!("[domain {domain}]\nregion = {region}\nlimit_weight = 1\n")
        });
        regions.chain(domains).collect()
    }

    fn write_settings(&self, fleet: &mut Fleet) {
        let names: Vec<(&str, IpAddr)> = self
            .instances
            .iter()
            .map(|(name, ..)| (name.as_str(), IpAddr::V4(Ipv4Addr::LOCALHOST)))
            .collect();
        let authority = generate_test_authority(&names).unwrap();
        let dir = std::env::temp_dir().join(format!("hawthornquay-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&dir).unwrap();
        let write = |name: &str, text: &str| {
            let path = dir.join(name);
            fs::write(&path, text).unwrap();
            path.display().to_string()
        };
        let authority_path = write("authority.pem", &authority.authority);
        for (index, (name, region, domain)) in self.instances.iter().enumerate() {
            let files = &authority.instances[index];
            let certificate = write(&format!("{name}.pem"), &files.certificate);
            let key = write(&format!("{name}.key"), &files.key);
            let [callers, peers, operators] =
                [0, 1, 2].map(|offset| fleet.ports[3 * index + offset].local_addr().unwrap());
            let log_level = if self.logs.is_some() {
                "info"
            } else {
                "warning"
            };
            let text = format!(
                "[instance]\nname = {name}\nregion = {region}\ndomain = {domain}\n\
                 callers = {callers}\npeers = {peers}\noperators = {operators}\n\
                 [platform]\naddress = {}\n\
                 [tls]\ncertificate = {certificate}\nkey = {key}\nauthority = {authority_path}\n\
                 [trust]\nsignatures_needed = 1\nsigner.ada = {}\n\
                 [log]\nformat = human\nlevel = {log_level}\n{}",
                if self.region_relays {
                    fleet.network.platform(region).address()
                } else {
                    fleet.platform.address()
                },
                fleet.signer.public_base64(),
                self.extra_settings,
            );
            fleet
                .settings_files
                .push(write(&format!("{name}.ini"), &text).into());
            let settings = DaemonSettings::read("settings", &text).unwrap();
            fleet.settings.push(settings);
        }
    }
}

/// Reserves free loopback ports and returns the sockets that hold them.
///
/// The sockets stay bound without listening: the kernel gives their ports to no other process, but
/// an instance can still listen on them. The ports are below the ephemeral range, so outgoing
/// connections of other tests do not take them.
fn reserve_ports(count: usize) -> Vec<TcpSocket> {
    static RESERVED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut sockets = Vec::new();
    while sockets.len() < count {
        let port = rand::random_range(LISTEN_PORTS);
        if !RESERVED.lock().insert(port) {
            continue;
        }
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        if socket.bind((Ipv4Addr::LOCALHOST, port).into()).is_ok() {
            sockets.push(socket);
        }
    }
    sockets
}

impl Fleet {
    /// Signs and accepts the bundle text with this version; returns an error if it is refused.
    pub async fn accept(
        &mut self,
        version: u64,
    ) -> Result<(), hawthornquay_operators::AcceptError> {
        let previous = format!("version = {}\n", version.saturating_sub(1).max(1));
        self.bundle_text =
            self.bundle_text
                .replacen(&previous, &format!("version = {version}\n"), 1);
        let document = BundleDocument::read("bundle", &self.bundle_text).unwrap();
        let signature = self.signer.sign("ada", version, &document.digest());
        let request = AcceptRequest {
            document: &document,
            signatures: &[signature],
            first_trust: None,
            who: "ada",
            when_ms: SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64,
        };
        accept_bundle(&PlatformStore(&self.store_client), &request)
            .await
            .map(drop)
    }

    /// Adds an instance to the platform's list, or updates its entry.
    pub fn list_instance(&self, index: usize, state: InstanceState) {
        let instance = &self.settings[index].instance;
        self.platform.set_instance(InstanceRecord {
            name: instance.name.clone(),
            region: instance.region.clone(),
            domain: instance.domain.clone(),
            callers: instance.callers,
            peers: self
                .link_relays
                .get(index)
                .map_or(instance.peers, |relay| relay.address),
            operators: instance.operators,
            state,
            state_age_ms: 0,
        });
    }

    /// Starts an instance in the test process.
    pub async fn start_instance(&mut self, index: usize) {
        let settings = self.settings[index].clone();
        let output: Box<dyn Write + Send> = match &self.logs {
            Some(logs) => Box::new(logs.clone()),
            None => Box::new(std::io::stderr()),
        };
        let logs = Logs::new(&settings.log, output);
        let daemon = Daemon::start(settings, logs).await.unwrap();
        while self.daemons.len() <= index {
            self.daemons.push(None);
        }
        self.daemons[index] = Some(daemon);
    }

    /// Starts each instance, as a process if `program` is given, and waits until all are ready.
    pub async fn start_all(&mut self, program: Option<&Path>) {
        for index in 0..self.settings.len() {
            self.list_instance(index, InstanceState::Live);
            match program {
                Some(program) => self.start_process(program, index).await,
                None => self.start_instance(index).await,
            }
        }
        match program {
            Some(_) => self.wait_processes_ready(Duration::from_secs(60)).await,
            None => self.wait_ready().await,
        }
    }

    async fn wait_ready(&self) {
        wait_until(
            Duration::from_secs(20),
            "bundle and slots at each instance",
            || {
                self.daemons.iter().flatten().all(|daemon| {
                    let node = daemon.node();
                    let limits = node.limits.lock();
                    node.bundle.active().is_some()
                        && ["kolanut", "homebound"]
                            .iter()
                            .all(|org| limits.slot_holder(&(*org).into()).is_some())
                })
            },
        )
        .await;
    }
}
