//! Stand-ins for the scripts of the third review: the platform's store, HTTP servers and clients, and
//! the start of entry instances as separate processes. Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- time and record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<fs::File>> = OnceLock::new();

/// Opens the record of the case in `folder`; times count from here.
pub fn start_record(folder: &Path) {
    START.get_or_init(Instant::now);
    let file = fs::File::create(folder.join("record.txt")).expect("record.txt can be written");
    RECORD.get_or_init(|| Mutex::new(file));
}

/// Seconds since the start of the record.
pub fn at() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line with the time to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:8.3} {line}", at());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(line: &str) {
    record(line);
    println!("{line}");
}

/// Whether the case brings its disruption about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_s(seconds: f64) {
    if seconds > 0.0 {
        thread::sleep(Duration::from_secs_f64(seconds));
    }
}

pub fn sleep_until(time: f64) {
    sleep_s(time - at());
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        let bytes = pair.as_bytes();
        let mut out = Vec::new();
        let mut index = 0;
        while index < bytes.len() {
            if bytes[index] == b'%' && index + 2 < bytes.len() {
                let hex = std::str::from_utf8(&bytes[index + 1..index + 3]).unwrap_or("3f");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                index += 3;
            } else {
                out.push(bytes[index]);
                index += 1;
            }
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }
}

/// Reads the head of a message; the bytes after it stay in `buf`.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buf) {
            return None;
        }
    };
    let head: Vec<u8> = buf.drain(..end).collect();
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Some(Message { first, headers, ..Message::default() })
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    let mut part = [0; 16384];
    match stream.read(&mut part) {
        Ok(len) if len > 0 => {
            buf.extend_from_slice(&part[..len]);
            true
        }
        _ => false,
    }
}

/// Reads the body of a message by its length, its chunks or, for a response, to the end of the
/// connection.
pub fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, message: &mut Message, is_response: bool) {
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let line_end = loop {
                if let Some(at) = buf.windows(2).position(|part| part == b"\r\n") {
                    break at;
                }
                if !read_more(stream, buf) {
                    return;
                }
            };
            let line = String::from_utf8_lossy(&buf[..line_end]).into_owned();
            let Ok(len) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                return;
            };
            while buf.len() < line_end + 2 + len + 2 {
                if !read_more(stream, buf) {
                    return;
                }
            }
            buf.drain(..line_end + 2);
            message.body.extend(buf.drain(..len));
            buf.drain(..2);
            if len == 0 {
                message.is_complete = true;
                return;
            }
        }
    }
    if let Some(len) = message.header("content-length").and_then(|value| value.parse::<usize>().ok()) {
        while buf.len() < len {
            if !read_more(stream, buf) {
                message.body.append(buf);
                return;
            }
        }
        message.body.extend(buf.drain(..len));
        message.is_complete = true;
    } else if is_response {
        while read_more(stream, buf) {}
        message.body.append(buf);
        message.is_complete = true;
    } else {
        message.is_complete = true;
    }
}

/// Sends a request on a new connection and reads the whole response; `None` if there is no head.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut buf = Vec::new();
    let mut message = read_head(&mut stream, &mut buf)?;
    read_body(&mut stream, &mut buf, &mut message, true);
    Some(message)
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves a listener: `handle` gets each request and returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut TcpStream, &Message) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buf = Vec::new();
                while let Some(mut message) = read_head(&mut stream, &mut buf) {
                    read_body(&mut stream, &mut buf, &mut message, false);
                    if !message.is_complete || !handle(&mut stream, &message) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
}

/// Address with a free port, below the range from which the system takes those of outgoing connections:
/// one of these could take the port before the process that is to listen on it has started.
pub fn free_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let count = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 16_000 + (std::process::id().wrapping_mul(97) + count) % 16_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
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
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Json {
    skip_space(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {}
                    Some(b',') => {
                        *at += 1;
                        continue;
                    }
                    _ => {
                        *at += 1;
                        return Json::Table(fields);
                    }
                }
                let Json::Text(key) = parse_value(bytes, at) else { return Json::Null };
                skip_space(bytes, at);
                *at += 1;
                fields.push((key, parse_value(bytes, at)));
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at) {
                    Some(b']') | None => {
                        *at += 1;
                        return Json::List(items);
                    }
                    Some(b',') => *at += 1,
                    _ => items.push(parse_value(bytes, at)),
                }
            }
        }
        Some(b'"') => {
            *at += 1;
            let mut out = Vec::new();
            while *at < bytes.len() && bytes[*at] != b'"' {
                if bytes[*at] == b'\\' {
                    *at += 1;
                    match bytes[*at] {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'u' => {
                            let hex = std::str::from_utf8(&bytes[*at + 1..*at + 5]).unwrap_or("003f");
                            let code = u32::from_str_radix(hex, 16).unwrap_or(63);
                            let text = char::from_u32(code).unwrap_or('?').to_string();
                            out.extend_from_slice(text.as_bytes());
                            *at += 4;
                        }
                        byte => out.push(byte),
                    }
                } else {
                    out.push(bytes[*at]);
                }
                *at += 1;
            }
            *at += 1;
            Json::Text(String::from_utf8_lossy(&out).into_owned())
        }
        _ => {
            let from = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b']' | b'}') && !bytes[*at].is_ascii_whitespace() {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[from..*at]).unwrap_or("") {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                text => text.parse().map_or(Json::Null, Json::Number),
            }
        }
    }
}

pub fn base64(data: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let bits = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                out.push(char::from(SIGNS[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created-rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// Stand-in for the platform's store, as PROTOCOL.md describes it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { address, shared };
        let serving = store.clone();
        serve(listener, move |stream, message| {
            let (status, body) = serving.answer(message);
            respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
        });
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.shared.1.notify_all();
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn answer(&self, message: &Message) -> (&'static str, String) {
        const OK: &str = "200 OK";
        let path = message.target().split('?').next().unwrap_or("").to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&message.body));
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        let answer = match (message.method(), path.as_str()) {
            ("GET", "/api/kv-key") => {
                let key = message.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (OK, item_json(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let prefix = message.query("prefix").unwrap_or_default();
                let after = message.query("after").unwrap_or_default();
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"more-pages\":false,\"current-rev\":{}}}",
                    found.join(","),
                    state.revision
                );
                (OK, text)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = message.query("prefix").unwrap_or_default();
                let after: u64 = message.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = message.query("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    state.end_leases();
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"current-rev\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        break (OK, text);
                    }
                    let step = left.min(Duration::from_millis(100));
                    state = self.shared.1.wait_timeout(state, step).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let expected = body.get("expected-revision").list();
                let differs = expected.iter().any(|row| {
                    let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
                    known != row.get("revision").number()
                });
                let has_lease = |put: &Json| {
                    let lease = put.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if differs {
                    let items: Vec<String> = expected
                        .iter()
                        .filter_map(|row| {
                            let key = row.get("key").text();
                            state.items.get(key).map(|item| item_json(key, item))
                        })
                        .collect();
                    ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")))
                } else if !body.get("puts").list().iter().all(has_lease) {
                    ("404 Not Found", "{}".to_owned())
                } else {
                    state.revision += 1;
                    for put in body.get("puts").list() {
                        let (key, lease) = (put.get("key").text(), put.get("lease").number());
                        state.put(key, put.get("value").text().to_owned(), lease);
                    }
                    for key in body.get("delete").list() {
                        state.delete(key.text());
                    }
                    self.shared.1.notify_all();
                    (OK, format!("{{\"revision\":{}}}", state.revision))
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl-ms").number().clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let length = Duration::from_millis(ttl);
                state.leases.insert(lease, (length, Instant::now() + length));
                (OK, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((length, end)) => {
                        *end = Instant::now() + *length;
                        let ttl = length.as_millis();
                        (OK, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                state.end_lease(lease);
                self.shared.1.notify_all();
                (OK, "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        drop(state);
        answer
    }
}

// ---------------------------------------------------------------- entry instances

/// Bounds of the deployment that reach the settings.
pub const GRACE_S: u64 = 8;

/// Entry instance of the deploy file as a process of its own.
pub struct Instance {
    pub name: String,
    pub region: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings as the platform fills in `platform/settings.ini`; `zones` are pairs of a
    /// zone and its region.
    pub fn new(folder: &Path, name: &str, zone: &str, zones: &[(&str, &str)], store: &Store) -> Self {
        let region = zones.iter().find(|(one, _)| *one == zone).map_or("", |(_, region)| region);
        let (callers, ready, directory) = (free_address(), free_address(), free_address());
        let (peers, metrics) = (free_address(), free_address());
        let places: String =
            zones.iter().map(|(zone, region)| format!("domain.{zone} = {region}\n")).collect();
        let text = format!(
            "[instance]\nname = {name}\nregion = {region}\ndomain = {zone}\ncallers = {callers}\n\
             peers = {peers}\nlink_mbps = 1000.0\nfirst_start = yes\n[status]\nreadiness = {ready}\n\
             directory = {directory}\nmetrics = {metrics}\n[places]\n{places}[store]\n\
             address = {}\nregistration_ms = 4000\n[routing]\nregion_round_trip_ms = 116\n\
             send_away_margin_ms = 40\n[retries]\nratio = 0.2\nslack = 58\n[limits]\n\
             slack_tokens = 140000\n[stop]\ngrace_s = {GRACE_S}\n[machine]\nmemory_mb = 260\n\
             descriptors = 4100\n[log]\nformat = json\nlevel = info\n",
            store.address
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap();
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            callers,
            ready,
            directory,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process, with the command of `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/hawthornquay-entryd")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                record(&format!("started {} as process {}", self.name, child.id()));
                PROCESSES.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => cannot_run(&format!("cannot start the entry instance: {error}")),
        }
    }

    /// Id of the process; 0 if it was never started.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let answer = request(self.ready, "GET", "/api/ready", &[], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        for _ in 0..200 {
            if self.is_ready() {
                return;
            }
            sleep_s(0.05);
        }
        cannot_run(&format!("{} did not become ready", self.name));
    }

    /// Sends a signal, for example `TERM`, to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            record(&format!("SIG{signal} to {}", self.name));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Text of the log so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ids of the processes that the case has started and not ended yet.
pub static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with the status of one that could not run.
pub fn cannot_run(reason: &str) -> ! {
    say(&format!("the case could not run: {reason}"));
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(2);
}

/// Temporary folder of this run, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hawthornquay-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
