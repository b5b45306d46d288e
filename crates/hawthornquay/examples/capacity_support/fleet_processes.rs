//! Fleet whose daemons and stand-ins each run in a process of their own.

use std::{
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio, id},
    thread::sleep,
    time::Duration,
};

use serde_json::Value;

/// Running fleet; its processes are killed and its files removed on drop.
pub struct FleetProcesses {
    bin: PathBuf,
    dir: PathBuf,
    children: Vec<Child>,
    pub platform: SocketAddr,
    pub engine: SocketAddr,
    /// Process id and caller address of each daemon.
    pub daemons: Vec<(u32, SocketAddr)>,
    /// API key of the first organisation.
    pub key: String,
    signer_public_key: String,
    key_section: String,
    bundle_version: u64,
    domains: usize,
    organisations: usize,
    service: SocketAddr,
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl FleetProcesses {
    /// Starts `count` daemons over `domains` failure domains, each in a region of its own, and
    /// waits 5 s for the start-up work to finish.
    pub fn start(count: usize, domains: usize, organisations: usize) -> Self {
        let program = env::current_exe().unwrap();
        let bin = program.parent().unwrap().parent().unwrap().to_owned();
        let dir = env::temp_dir().join(format!("capacity-{}-{count}-{organisations}", id()));
        fs::create_dir_all(&dir).unwrap();
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fleet = Self {
            bin,
            dir,
            children: Vec::new(),
            platform: unset,
            engine: unset,
            daemons: Vec::new(),
            key: String::new(),
            signer_public_key: String::new(),
            key_section: String::new(),
            bundle_version: 0,
            domains,
            organisations,
            service: unset,
        };
        fleet.platform = fleet.spawn("hawthornquay-standin-platform", &[]).1;
        let engine = ["--name", "engine-0", "--slots", "512", "--decode-ms", "2"];
        fleet.engine = fleet.spawn("hawthornquay-standin-engine", &engine).1;
        fleet.service = fleet
            .spawn("hawthornquay-standin-service", &["--name", "bookings-1"])
            .1;
        let signing_key = fleet.path("ada.key");
        let printed = fleet
            .run_command(&["key", "new", "--signer", "ada", "--out", &signing_key])
            .0;
        let public = printed
            .lines()
            .find_map(|line| line.strip_prefix("signer.ada = "));
        fleet.signer_public_key = public.unwrap().to_owned();
        let file = fleet.path("bundle.ini");
        fs::write(&file, fleet.bundle_text(1_000_000_000)).unwrap();
        let args = [
            "key",
            "new",
            "--bundle",
            &file,
            "--organisation",
            "org-0",
            "--name",
            "clerk",
        ];
        let (section, text) = fleet.run_command(&args);
        let key = text.lines().find_map(|line| line.split_once(": "));
        fleet.key = key.unwrap().1.trim().to_owned();
        fleet.key_section = section;
        fleet.accept_bundle(1_000_000_000);
        fleet.start_daemons(count);
        sleep(Duration::from_secs(5));
        fleet
    }

    /// Signs and accepts the next bundle version, in which the first organisation has this rate.
    pub fn accept_bundle(&mut self, rate: u64) {
        self.bundle_version += 1;
        let file = self.path("bundle.ini");
        fs::write(&file, self.bundle_text(rate) + &self.key_section).unwrap();
        let (key, platform) = (self.path("ada.key"), self.platform.to_string());
        self.run_command(&["bundle", "sign", "--key", &key, "--signer", "ada", &file]);
        self.run_command(&[
            "bundle",
            "accept",
            "--platform",
            &platform,
            "--who",
            "ada",
            &file,
        ]);
    }

    /// Returns the value of one of the platform's counters.
    pub fn counter(&self, name: &str) -> f64 {
        let text = http(self.platform, "GET", "/admin/counters", "", "");
        let (_, body) = text.split_once("\r\n\r\n").unwrap();
        let value: Value = serde_json::from_str(body).unwrap();
        value[name].as_f64().unwrap()
    }

    /// Returns the total CPU time of all daemons, in microseconds.
    pub fn cpu_us(&self) -> f64 {
        self.daemons.iter().map(|(pid, _)| cpu_us(*pid)).sum()
    }

    /// Runs the load generator against the first daemon and returns its output.
    pub fn run_load(&self, args: &[&str]) -> String {
        let keys = self.path("keys.txt");
        fs::write(&keys, format!("org-0 {}\n", self.key)).unwrap();
        let address = self.daemons[0].1.to_string();
        let output = Command::new(self.bin.join("hawthornquay-load"))
            .args(["--instance", &address, "--keys", &keys])
            .args(args)
            .output()
            .unwrap();
        String::from_utf8(output.stdout).unwrap()
    }

    fn bundle_text(&self, rate: u64) -> String {
        let mut text = format!(
            "[bundle]\nversion = {}\nsignatures_needed = 1\n\
             key_salt = 00112233445566778899aabbccddeeff\nsigner.ada = {}\n",
            self.bundle_version.max(1),
            self.signer_public_key
        );
        for n in 0..self.domains {
            text += &format!("[region region-{n}]\n[domain domain-{n}]\nregion = region-{n}\n");
            text += "limit_weight = 1\n";
        }
        for n in 0..self.organisations {
            let rate = if n == 0 { rate } else { 1_000 };
            text += &format!("[organisation org-{n}]\nrate = {rate}\nburst = 1000000000\n");
            text += "residency = any\n";
            let digest = format!("{:064x}", n + 1);
            text += &format!("[key org-{n}-0]\norganisation = org-{n}\ndigest = {digest}\n");
        }
        text + &format!(
            "[route /v1/services/bookings]\nservice = bookings\nrepeatable = no\n\
             idempotency_key = required\ncost = 1\n\
             [backend engine-0]\nkind = model-engine\naddress = {}\ndomain = domain-0\n\
             models = ledger-7b\nfencing = yes\n\
             [backend bookings-1]\nkind = plain-service\naddress = {}\ndomain = domain-0\n\
             service = bookings\n",
            self.engine, self.service
        )
    }

    fn start_daemons(&mut self, count: usize) {
        let names: Vec<String> = (0..count).map(|n| format!("entry-{n:03}")).collect();
        let tls = self.path("tls");
        let hosts: Vec<String> = names
            .iter()
            .map(|name| format!("{name}=127.0.0.1"))
            .collect();
        let mut args = vec!["tls", "new", "--out", &tls];
        args.extend(hosts.iter().map(String::as_str));
        self.run_command(&args);
        let ports = Command::new(self.bin.join("hawthornquay-standin-ports"))
            .arg((3 * count).to_string())
            .output()
            .unwrap();
        let ports = String::from_utf8(ports.stdout).unwrap();
        let ports: Vec<&str> = ports.split_whitespace().collect();
        for (index, name) in names.iter().enumerate() {
            let domain = index % self.domains;
            let address = |n: usize| format!("127.0.0.1:{}", ports[3 * index + n]);
            let (callers, peers, operators) = (address(0), address(1), address(2));
            let settings = format!(
                "[instance]\nname = {name}\nregion = region-{domain}\ndomain = domain-{domain}\n\
                 callers = {callers}\npeers = {peers}\noperators = {operators}\n\
                 [platform]\naddress = {}\n[tls]\ncertificate = {tls}/{name}.pem\n\
                 key = {tls}/{name}.key\nauthority = {tls}/authority.pem\n\
                 [trust]\nsignatures_needed = 1\nsigner.ada = {}\n\
                 [log]\nformat = human\nlevel = warning\n",
                self.platform, self.signer_public_key
            );
            let file = self.path(&format!("{name}.ini"));
            fs::write(&file, settings).unwrap();
            let record = serde_json::json!({"name": name, "region": format!("region-{domain}"),
                "domain": format!("domain-{domain}"), "callers": callers, "peers": peers,
                "operators": operators, "state": "live", "state_age_ms": 0});
            let path = format!("/admin/instances/{name}");
            http(self.platform, "PUT", &path, "", &record.to_string());
            let daemon = self.spawn("hawthornquayd", &["--settings", &file]);
            self.daemons.push(daemon);
        }
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Runs `hawthornquay` and returns its standard output and standard error.
    fn run_command(&self, args: &[&str]) -> (String, String) {
        let output = Command::new(self.bin.join("hawthornquay"))
            .args(args)
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        let (out, err) = (text(output.stdout), text(output.stderr));
        assert!(output.status.success(), "{args:?}: {out}{err}");
        (out, err)
    }

    /// Starts a program and returns its process id and the address on which it listens.
    ///
    /// # Panics
    ///
    /// Panics if the first line of output is not `listening <address>`.
    fn spawn(&mut self, program: &str, args: &[&str]) -> (u32, SocketAddr) {
        let mut child = Command::new(self.bin.join(program))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let pid = child.id();
        self.children.push(child);
        let address = line
            .trim()
            .strip_prefix("listening ")
            .unwrap_or_else(|| panic!("{program} printed no address: {line:?}"));
        (pid, address.parse().unwrap())
    }
}

/// Returns the CPU time of all threads of a process, in microseconds.
pub fn cpu_us(pid: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| text.split(' ').next()?.parse::<f64>().ok())
        .map(|ns| ns / 1e3)
        .sum()
}

/// Sends one request on a new connection and returns the response with its headers.
pub fn http(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let len = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{headers}\
         Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
