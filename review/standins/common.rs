//! Stand-ins for the platform's store, workers and clients, for the scripts of this review.
//!
//! They use the standard library only, listen on loopback addresses and follow the users' pages.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "lots.example";
pub const KEY: &str = "key-1";

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut chars = text.chars().peekable();
        Self::value(&mut chars)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Json> {
        skip_spaces(chars);
        match *chars.peek()? {
            '{' => {
                chars.next();
                let mut rows = Vec::new();
                loop {
                    skip_spaces(chars);
                    match chars.peek()? {
                        '}' => {
                            chars.next();
                            return Some(Json::Table(rows));
                        }
                        ',' => {
                            chars.next();
                        }
                        _ => {
                            let key = Self::string(chars)?;
                            skip_spaces(chars);
                            if chars.next()? != ':' {
                                return None;
                            }
                            rows.push((key, Self::value(chars)?));
                        }
                    }
                }
            }
            '[' => {
                chars.next();
                let mut list = Vec::new();
                loop {
                    skip_spaces(chars);
                    match chars.peek()? {
                        ']' => {
                            chars.next();
                            return Some(Json::List(list));
                        }
                        ',' => {
                            chars.next();
                        }
                        _ => list.push(Self::value(chars)?),
                    }
                }
            }
            '"' => Self::string(chars).map(Json::Text),
            _ => {
                let mut word = String::new();
                while let Some(c) = chars.peek() {
                    if ",]} \n\r\t".contains(*c) {
                        break;
                    }
                    word.push(*c);
                    chars.next();
                }
                match word.as_str() {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<String> {
        if chars.next()? != '"' {
            return None;
        }
        let mut text = String::new();
        loop {
            match chars.next()? {
                '"' => return Some(text),
                '\\' => match chars.next()? {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'u' => {
                        let hex: String = chars.by_ref().take(4).collect();
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
    }
}

fn skip_spaces(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) {
    while chars.peek().is_some_and(|c| c.is_whitespace()) {
        chars.next();
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                text.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes `%XX` in a query.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Record of a run: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record file"))),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// HTTP message: first line, headers in lowercase, body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection ends before it is complete.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let first = line.trim_end().to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (key, value) = line.split_once(':')?;
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            first,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let len = usize::from_str_radix(line.trim(), 16).ok()?;
                let mut part = vec![0; len + 2];
                reader.read_exact(&mut part).ok()?;
                if len == 0 {
                    return Some(message);
                }
                message.body.extend_from_slice(&part[..len]);
            }
        }
        let len = message.header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        message.body = vec![0; len];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// Accepts connections on a free loopback port and passes each to `handle`, on a thread of its own.
pub fn listen(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as it was written, or `None` if it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Lifetime and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created-rev":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

/// Whether a write is answered, or is done after a time and not answered.
pub enum Answer {
    Now,
    LostAndDoneAfter(Duration),
}

type WriteRule = Box<dyn Fn(&str, &Json) -> Answer + Send + Sync>;

/// Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store").
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    rule: Mutex<Option<WriteRule>>,
    record: Record,
    pub writes: AtomicU64,
}

impl Store {
    pub fn start(record: &Record) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 10,
                next_lease: 100,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
            rule: Mutex::new(None),
            record: record.clone(),
            writes: AtomicU64::new(0),
        });
        let served = store.clone();
        let address = listen(move |stream| served.serve(stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.state.lock().unwrap().end_leases();
                expiring.changed.notify_all();
            }
        });
        (store, address)
    }

    /// Sets which writes (paths and bodies) are not answered.
    pub fn set_rule(&self, rule: Option<WriteRule>) {
        *self.rule.lock().unwrap() = rule;
    }

    /// Writes an item as the operator or a worker.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(message) = Message::read(&mut reader) {
            let mut words = message.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
            let is_write = path == "/api/kv-lease" || path == "/api/kv-txn";
            if is_write {
                self.writes.fetch_add(1, Ordering::Relaxed);
                let text = String::from_utf8_lossy(&message.body).into_owned();
                let answer = match &*self.rule.lock().unwrap() {
                    Some(rule) => rule(path, &body),
                    None => Answer::Now,
                };
                if let Answer::LostAndDoneAfter(delay) = answer {
                    let ms = delay.as_millis();
                    self.record.line(&format!("store: {path} {text} not answered, done {ms} ms later"));
                    let (store, path, body) = (self.clone(), path.to_owned(), body.clone());
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let (status, answer) = store.run("POST", &path, "", &body);
                        store.record.line(&format!("store: {path} {text} done late: {status} {answer}"));
                    });
                    // The connection returns nothing further.
                    while reader.read(&mut [0; 1024]).is_ok_and(|len| len > 0) {}
                    return;
                }
                let (status, answer) = self.run(method, path, query, &body);
                self.record.line(&format!("store: {path} {text} -> {status} {answer}"));
                if respond_json(&mut writer, status, &answer).is_err() {
                    return;
                }
                continue;
            }
            let (status, answer) = self.run(method, path, query, &body);
            if respond_json(&mut writer, status, &answer).is_err() {
                return;
            }
        }
    }

    fn run(&self, method: &str, path: &str, query: &str, body: &Json) -> (u16, String) {
        let field = |name: &str| {
            let found = query.split('&').find_map(|row| row.strip_prefix(&format!("{name}=")));
            found.map(decoded).unwrap_or_default()
        };
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        match (method, path) {
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (field("prefix"), field("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let mut found: Vec<_> = found.filter(|(key, _)| **key > after).collect();
                let more = found.len() > 500;
                found.truncate(500);
                let items: Vec<String> = found.iter().map(|(key, item)| item_json(key, item)).collect();
                let (items, revision) = (items.join(","), state.revision);
                (200, format!(r#"{{"items":[{items}],"more-pages":{more},"current-rev":{revision}}}"#))
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (field("prefix"), field("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix))
                        .map(|(at, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (200, format!(r#"{{"events":[{events}],"current-rev":{revision}}}"#));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl-ms").map_or(0, Json::number);
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!(r#"{{"lease":{lease},"ttl-ms":{ttl}}}"#))
            }
            ("POST", "/api/kv-txn") => {
                let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
                let holds = rows("expected-revision").iter().all(|row| {
                    let key = row.get("key").map_or("", Json::text);
                    let expected = row.get("revision").map_or(0, Json::number);
                    state.items.get(key).map_or(0, |item| item.revision) == expected
                });
                if !holds {
                    return (412, r#"{"items":[]}"#.to_owned());
                }
                let puts = rows("puts");
                let lease_of = |row: &Json| row.get("lease").map_or(0, Json::number);
                if puts.iter().any(|row| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row))) {
                    return (404, "{}".to_owned());
                }
                for row in &puts {
                    let value = row.get("value").map_or("", Json::text).to_owned();
                    state.put(row.get("key").map_or("", Json::text), value, lease_of(row));
                }
                for key in rows("delete") {
                    state.delete(key.text());
                }
                self.changed.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, state.revision))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl-ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn respond_json(writer: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let len = body.len();
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    writer.write_all(text.as_bytes())
}

/// Registers a worker in the store, every 1.2 s.
pub fn beat(store: &Arc<Store>, id: &str, service: &str, zone: &str, slots: u32, address: SocketAddr) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
    let (store, id) = (store.clone(), id.to_owned());
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            store.put(
                &format!("servers/{id}"),
                &format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{born}}}"#
                ),
            );
            thread::sleep(Duration::from_millis(1_200));
        }
    });
}

/// Starts a worker that runs each request for 15 ms and answers it with its whole body.
pub fn start_worker(store: &Arc<Store>, record: &Record, id: &str, service: &str, zone: &str) {
    let (name, log) = (id.to_owned(), record.clone());
    let address = listen(move |stream| {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(message) = Message::read(&mut reader) {
            let request = message.header("x-hawthornquay-request-id").unwrap_or("").to_owned();
            if message.header("x-hawthornquay-expected-instance").is_some_and(|id| id != name) {
                let _ = writer.write_all(
                    format!("HTTP/1.1 421 Other\r\nX-Hawthornquay-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
                );
                continue;
            }
            log.line(&format!("worker {name} runs {request}"));
            thread::sleep(Duration::from_millis(15));
            let body = format!("{request} by {name}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Hawthornquay-Request-Id: {request}\r\nX-Hawthornquay-Response-Signature: {name}.{request}\r\nX-Hawthornquay-Server-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    beat(store, id, service, zone, 6, address);
}

/// Entry instance: the program of the deploy file, as a process of its own.
pub struct Instance {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    text: String,
    process: Option<Child>,
}

impl Instance {
    /// Writes the settings of an instance, as the template `platform/settings.ini` gives them.
    pub fn new(
        folder: &Path,
        (name, region, zone): (&str, &str, &str),
        zones: &[(&str, &str)],
        store: SocketAddr,
    ) -> Self {
        let held: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("free port")).collect();
        let free: Vec<SocketAddr> = held.iter().map(|one| one.local_addr().expect("address")).collect();
        let places: String = zones.iter().map(|(zone, region)| format!("domain.{zone} = {region}\n")).collect();
        let text = format!(
            "[instance]\nname = {name}\nregion = {region}\ndomain = {zone}\ncallers = {}\npeers = {}\nlink_mbps = 1000.0\n@first@\n[status]\nreadiness = {}\ndirectory = {}\nmetrics = {}\n\n[places]\n{places}\n[store]\naddress = {store}\nregistration_ms = 4000\n\n[routing]\nregion_round_trip_ms = 116\nsend_away_margin_ms = 40\n\n[retries]\nratio = 0.2\nslack = 58\n\n[limits]\nslack_tokens = 140000\n\n[stop]\ngrace_s = 8\n\n[log]\nformat = json\nlevel = info\n",
            free[0], free[1], free[2], free[3], free[4]
        );
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            zone: zone.to_owned(),
            callers: free[0],
            readiness: free[2],
            directory: free[3],
            settings: folder.join(format!("{name}.ini")),
            text,
            process: None,
        }
    }

    /// Starts the process; `first` says whether the whole system starts for the first time.
    pub fn start(&mut self, root: &Path, first: bool) {
        let first = if first { "first_start = yes\n" } else { "" };
        std::fs::write(&self.settings, self.text.replace("@first@\n", first)).expect("settings");
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).expect("log file");
        let process = Command::new(root.join("target/release/hawthornquay-entryd"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("target/release/hawthornquay-entryd starts");
        self.process = Some(process);
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn id(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Asks whether the instance is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET /api/ready HTTP/1.1\r\nHost: platform\r\n\r\n", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the addresses that the directory of this instance names to clients of a zone.
    pub fn resolve(&self, region: &str, zone: &str) -> Vec<String> {
        let req = format!("GET /api/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\nHost: platform\r\n\r\n");
        let Ok(answer) = call(self.directory, &req, Duration::from_secs(1)) else {
            return Vec::new();
        };
        let body = Json::parse(&String::from_utf8_lossy(&answer.body)).unwrap_or(Json::Null);
        let addresses = body.get("addresses").map(Json::list).unwrap_or_default();
        addresses.iter().map(|one| one.text().to_owned()).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &str, wait: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|e| format!("no connection: {e}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    let mut writer = stream.try_clone().map_err(|e| e.to_string())?;
    writer.write_all(request.as_bytes()).map_err(|e| format!("not sent: {e}"))?;
    Message::read(&mut BufReader::new(stream)).ok_or_else(|| "closed without a whole answer".to_owned())
}

/// Returns the root of the repository and the folder of a case, from the arguments.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let root = args.next().expect("root of the repository");
    let case = args.next().expect("folder of the case");
    (root, case)
}

/// Returns a temporary folder of this process.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("hawthornquay-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder");
    folder
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}
