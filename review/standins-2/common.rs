//! Stand-ins for the platform's store, workers and clients, for the scripts of the second review.
//!
//! They use the standard library only, listen on loopback addresses and follow the users' pages.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    env, fs,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "lots.example";

/// Record of what was sent, answered and run, with the seconds since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Self {
            file: Mutex::new(file),
            start: Instant::now(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}

/// Returns whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn verdict(record: &Record, outcome: Result<bool, String>) -> ExitCode {
    let (text, code) = match outcome {
        Ok(true) => ("the rule is broken".to_owned(), 1),
        Ok(false) => ("the rule holds".to_owned(), 0),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{text}");
    ExitCode::from(code)
}

// --- HTTP ---

/// Request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Reads a message; `None` if the connection ends before its end.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut message = Self {
            first_line: read_line(reader)?,
            ..Self::default()
        };
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (key, value) = line.split_once(':')?;
            let header = (key.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
                let at = message.body.len();
                message.body.resize(at + size, 0);
                reader.read_exact(&mut message.body[at..]).ok()?;
                read_line(reader)?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message.header("content-length").map_or("0", |text| text);
        message.body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    let text = String::from_utf8_lossy(line.strip_suffix(b"\n")?).into_owned();
    Some(text.trim_end_matches('\r').to_owned())
}

/// Sends a request on a new connection, and returns the status and body of its answer.
///
/// # Errors
///
/// Returns what happened if no complete answer arrives within `wait`.
pub fn call(address: SocketAddr, request: &str, wait: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = stream.map_err(|error| format!("no connection ({error})"))?;
    let _ = stream.set_read_timeout(Some(wait));
    let _ = stream.set_nodelay(true);
    stream
        .write_all(request.as_bytes())
        .map_err(|error| format!("not sent ({error})"))?;
    Message::read(&mut BufReader::new(stream)).ok_or_else(|| "cut or late".to_owned())
}

/// Returns the text of a client's request without a body.
pub fn client_request(method: &str, path: &str, id: &str, key: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Hawthornquay-Request-Id: {id}\r\n\
         Authorization: Bearer {key}\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

// --- JSON and base64, as far as the store needs them ---

#[derive(Clone, Debug)]
pub enum Json {
    Text(String),
    Number(u64),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        Self::value(text, &mut 0)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|row| &row.1),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number,
            _ => 0,
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Self> {
        skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    skip(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Table(rows));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(text, at)? else {
                                return None;
                            };
                            rows.push((key, Self::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    skip(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut found = Vec::new();
                while *text.get(*at)? != b'"' {
                    if text[*at] == b'\\' {
                        *at += 1;
                    }
                    found.push(*text.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                Some(Self::Text(String::from_utf8(found).ok()?))
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|c| !b",]} \r\n".contains(c)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&text[from..*at]).ok()?;
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    // The colon between a key and its value is skipped, too.
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) || text.get(*at) == Some(&b':') {
        *at += 1;
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let bits = (0..3).fold(0_u32, |bits, at| {
            bits << 8 | u32::from(part.get(at).copied().unwrap_or(0))
        });
        for at in 0..4 {
            if at <= part.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * at) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let raw = text.as_bytes();
    let mut at = 0;
    while at < raw.len() {
        if raw[at] == b'%' && at + 2 < raw.len() {
            let hex = std::str::from_utf8(&raw[at + 1..at + 3]).unwrap_or("20");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            bytes.push(raw[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// --- The platform's store ---

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in the order of their revisions, encoded as events of a watch.
    history: Vec<(u64, String, String)>,
    /// End and lifetime of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |old| old.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = item_text(key, &item);
        self.history.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                r#"{{"key":"{key}","revision":{},"deleted":true}}"#,
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created-rev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

/// Stand-in for the platform's store.
pub struct Store {
    pub address: SocketAddr,
    contents: Mutex<Contents>,
    changed: Condvar,
    /// Time that an answer takes, in milliseconds.
    pub answer_ms: AtomicU64,
    /// Calls of `kv-range` for the operator's keys.
    pub full_reads: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            contents: Mutex::new(Contents {
                revision: 100,
                ..Contents::default()
            }),
            changed: Condvar::new(),
            answer_ms: AtomicU64::new(4),
            full_reads: AtomicU64::new(0),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.contents.lock().unwrap().end_leases();
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Writes an item as the operator or a worker does; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let encoded = base64(value.as_bytes());
        let mut contents = self.contents.lock().unwrap();
        contents.put(key, encoded, 0);
        let revision = contents.revision;
        drop(contents);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        self.contents.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = Message::read(&mut reader)?;
            let (status, body) = self.answer(&request);
            thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::Relaxed)));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let of = |name: &str| {
            let found = query.split('&').filter_map(|part| part.split_once('='));
            found
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| decoded(value))
                .next()
                .unwrap_or_default()
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Other);
        match path {
            "/api/kv-range" => self.range(&of("prefix"), &of("after")),
            "/api/kv-watch" => {
                let wait = Duration::from_millis(of("wait-ms").parse().unwrap_or(0));
                self.watch(&of("prefix"), of("after").parse().unwrap_or(0), wait)
            }
            "/api/kv-txn" => self.transact(&body),
            "/api/kv-lease" => {
                let mut contents = self.contents.lock().unwrap();
                contents.next_lease += 1;
                let (id, ttl) = (contents.next_lease, body.number("ttl-ms"));
                let life = Duration::from_millis(ttl);
                contents.leases.insert(id, (Instant::now() + life, life));
                (200, format!(r#"{{"lease":{id},"ttl-ms":{ttl}}}"#))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let id: u64 = id.unwrap_or(0);
                let mut contents = self.contents.lock().unwrap();
                contents.end_leases();
                let Some((end, life)) = contents.leases.get_mut(&id) else {
                    return (404, "{}".to_owned());
                };
                let is_renewal = path.starts_with("/api/kv-keep");
                *end = Instant::now() + if is_renewal { *life } else { Duration::ZERO };
                (200, format!(r#"{{"ttl-ms":{}}}"#, life.as_millis()))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        if prefix == "op/" {
            self.full_reads.fetch_add(1, Ordering::Relaxed);
        }
        let mut contents = self.contents.lock().unwrap();
        contents.end_leases();
        let mut items: Vec<String> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in &contents.items {
            if key.starts_with(prefix) && key.as_str() > after {
                if items.len() >= 500 || bytes >= 1 << 20 {
                    more = true;
                    break;
                }
                bytes += item.value.len() / 4 * 3;
                items.push(item_text(key, item));
            }
        }
        let revision = contents.revision;
        let items = items.join(",");
        (
            200,
            format!(r#"{{"items":[{items}],"more-pages":{more},"current-rev":{revision}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let events: Vec<&str> = contents
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), contents.revision);
                return (
                    200,
                    format!(r#"{{"events":[{events}],"current-rev":{revision}}}"#),
                );
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut contents = self.contents.lock().unwrap();
        contents.end_leases();
        let expected = body.list("expected-revision");
        let revision_of = |contents: &Contents, key: &str| {
            let item = contents.items.get(key);
            item.map_or(0, |item| item.revision)
        };
        let is_met = |row: &Json| {
            revision_of(&contents, row.text("key")) == row.number("revision")
        };
        if !expected.iter().all(is_met) {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.text("key");
                    Some(item_text(key, contents.items.get(key)?))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        for put in body.list("puts") {
            let lease = put.number("lease");
            if lease != 0 && !contents.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.list("puts") {
            let value = put.text("value").to_owned();
            contents.put(put.text("key"), value, put.number("lease"));
        }
        for key in body.list("delete") {
            if let Json::Text(key) = key {
                contents.delete(key);
            }
        }
        let revision = contents.revision;
        drop(contents);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

/// Returns the current time as Unix milliseconds.
pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Returns a worker's entry in the store.
pub fn worker_entry(service: &str, address: SocketAddr, zone: &str, slots: u32, born: u128) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
    )
}

// --- Instances ---

/// Region and zone of the small deployments of these cases.
pub const PLACES: [(&str, &str); 3] = [
    ("lagos", "lagos-a"),
    ("abuja", "abuja-a"),
    ("kano", "kano-a"),
];

/// Line that the template has only when the whole system starts for the first time.
const FIRST_START: &str = "first_start = yes\n";

/// Entry instance, started with the command of the deploy file.
pub struct Front {
    pub name: String,
    pub region: &'static str,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Front {
    /// Starts an instance; its settings are those that `platform/settings.ini` gives.
    pub fn start(
        folder: &Path,
        name: &str,
        (region, zone): (&'static str, &str),
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ports: Vec<SocketAddr> = unused_addresses(5)?;
        let [callers, peers, ready, directory, metrics] = ports[..] else {
            return Err(io::Error::other("no free ports"));
        };
        let places: String = PLACES
            .iter()
            .map(|(region, zone)| format!("domain.{zone} = {region}\n"))
            .collect();
        let text = format!(
            "[instance]\nname = {name}\nregion = {region}\ndomain = {zone}\ncallers = {callers}\n\
             peers = {peers}\nlink_mbps = 1000.0\n{FIRST_START}\n[status]\n\
             readiness = {ready}\ndirectory = {directory}\nmetrics = {metrics}\n\n[places]\n{places}\n\
             [store]\naddress = {store}\nregistration_ms = 4000\n\n[routing]\n\
             region_round_trip_ms = 116\nsend_away_margin_ms = 40\n\n[retries]\nratio = 0.2\n\
             slack = 58\n\n[limits]\nslack_tokens = 140000\n\n[stop]\ngrace_s = 8\n\n[machine]\n\
             memory_mb = 260\ndescriptors = 4100\n\n[log]\nformat = json\nlevel = info\n"
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let mut front = Self {
            name: name.to_owned(),
            region,
            callers,
            ready,
            directory,
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        front.run()?;
        Ok(front)
    }

    /// Starts the process.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/hawthornquay-entryd")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Takes the line for the first start of the whole system out of the settings.
    pub fn end_first_start(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace(FIRST_START, ""))
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let command = format!("kill -TERM {}", child.id());
        Command::new("sh").args(["-c", &command]).status().map(drop)
    }

    /// Waits until the instance is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        let request = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = call(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(ToOwned::to_owned).collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns free addresses below the range from which the system takes the ports of connections.
pub fn unused_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 131;
    let mut found = Vec::new();
    for _ in 0..10_000 {
        let offset = (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 10_000;
        let port = 20_000 + offset as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            found.push(listener.local_addr()?);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Self {
        let path = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder can be written");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
