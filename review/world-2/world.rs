//! Stand-ins for the review's scripts: the platform's log store, model servers, plain servers, stores
//! of KV cache, clients, and the daemons as separate processes. Uses the standard library only.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The servers' common clock, in milliseconds.
pub fn clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// What was sent, answered and run, in the order in which it happened.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        lock(&self.lines).push(format!("{at:9.3} {}", text.as_ref()));
    }

    pub fn write(&self, path: &Path) {
        let text = lock(&self.lines).join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}

// HTTP.

#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the end that its head states.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(known, _)| known.eq_ignore_ascii_case(name))
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut piece = [0; 16384];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&piece[..count]);
                true
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// The next message; `None` if the connection ends before its head is complete.
    pub fn read(&mut self, is_answer: bool) -> Option<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message { first, headers, body: Vec::new(), is_whole: true };
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let Some(line) = self.line() else {
                    message.is_whole = false;
                    break;
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16)
                    .unwrap_or(0);
                if size == 0 {
                    message.is_whole = self.line().is_some();
                    break;
                }
                match self.take(size + 2) {
                    Some(piece) => message.body.extend_from_slice(&piece[..size]),
                    None => {
                        message.body.append(&mut self.buffer);
                        message.is_whole = false;
                        break;
                    }
                }
            }
        } else if message.has("content-length") {
            let length = message.header("content-length").parse().unwrap_or(0);
            match self.take(length) {
                Some(body) => message.body = body,
                None => message.is_whole = false,
            }
        } else if is_answer && message.status() >= 200 {
            while self.fill() {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Some(message)
    }
}

/// The bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

type Handler = Arc<dyn Fn(&Message, &mut Wire) -> bool + Send + Sync>;

/// A listener that can be ended like a crashed process, and started again.
#[derive(Clone)]
pub struct Listener {
    pub address: SocketAddr,
    handler: Handler,
    run: Arc<Mutex<Option<Run>>>,
    /// Addresses whose connections are closed at once.
    cut: Arc<Mutex<Vec<IpAddr>>>,
}

struct Run {
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    thread: std::thread::JoinHandle<()>,
}

impl Listener {
    /// Serves at the address. The handler writes its answer and says whether the connection goes on.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Message, &mut Wire) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener =
            Self { address, handler: Arc::new(handler), run: Arc::default(), cut: Arc::default() };
        listener.up();
        listener
    }

    pub fn up(&self) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let (stop, connections) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (stopped, known, handler) =
            (Arc::clone(&stop), Arc::clone(&connections), Arc::clone(&self.handler));
        let cut = Arc::clone(&self.cut);
        let thread = spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, peer)) = listener.accept() else {
                    sleep(ms(1));
                    continue;
                };
                if lock(&cut).contains(&peer.ip()) {
                    continue;
                }
                drop(stream.set_nonblocking(false));
                if let Ok(copy) = stream.try_clone() {
                    lock(&known).push(copy);
                }
                let handler = Arc::clone(&handler);
                spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Some(request) = wire.read(false) {
                        if !handler(&request, &mut wire) {
                            break;
                        }
                    }
                    drop(wire.stream.shutdown(Shutdown::Both));
                });
            }
        });
        *lock(&self.run) = Some(Run { stop, connections, thread });
    }

    /// Ends the listener and all connections, as the end of its process would.
    pub fn crash(&self) {
        let Some(run) = lock(&self.run).take() else { return };
        run.stop.store(true, Ordering::SeqCst);
        drop(run.thread.join());
        lock(&run.connections).iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

/// An address at which nobody listens now.
pub fn free_address() -> SocketAddr {
    free_address_at(Ipv4Addr::LOCALHOST)
}

fn free_address_at(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a free address")
}

/// The loopback address of a daemon, from which it also connects.
pub fn daemon_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, 10 + number as u8)
}

/// Two addresses in a row at which nobody listens now, the first also not for datagrams.
fn free_pair(ip: Ipv4Addr) -> (u16, u16) {
    loop {
        let first = free_address_at(ip).port();
        let is_free = std::net::UdpSocket::bind((ip, first)).is_ok()
            && TcpListener::bind((ip, first.wrapping_add(1))).is_ok();
        if is_free && first < u16::MAX {
            return (first, first + 1);
        }
    }
}

// The platform's store.

#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
}

/// The platform's log store; it keeps everything.
#[derive(Clone)]
pub struct LogStore {
    state: Arc<(Mutex<Topics>, Condvar)>,
    pub address: SocketAddr,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            let is_digit = place <= group.len();
            text.push(if is_digit {
                DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

fn split_keyed(record: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((String::from_utf8_lossy(key).into_owned(), value))
}

impl LogStore {
    pub fn start() -> Self {
        let store = Self { state: Arc::default(), address: free_address() };
        let own = store.clone();
        Listener::start(store.address, move |request, wire| {
            let bytes = own.answer(request);
            wire.stream.write_all(&bytes).is_ok()
        });
        store
    }

    /// Writes a record of a keyed topic, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        lock(&self.state.0).topics.entry(topic.to_owned()).or_default().push(record);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        match request.path() {
            "/api/log-append" => {
                let mut state = lock(&self.state.0);
                let records = state.topics.entry(topic).or_default();
                let end = records.len() as u64;
                if number("asOf").is_some_and(|expected| expected != end) {
                    return answer(412, &[], format!("{{\"end\":{end}}}").as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let new_end = records.len();
                drop(state);
                self.state.1.notify_all();
                answer(200, &[], format!("{{\"offset\":{end},\"end\":{new_end}}}").as_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + ms(number("waitMs").unwrap_or(0));
                let mut state = lock(&self.state.0);
                loop {
                    let known = state.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if known > from || left.is_zero() {
                        break;
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
                let empty = Vec::new();
                let records = state.topics.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                answer(200, &[], &body)
            }
            "/api/log-newest" => {
                let state = lock(&self.state.0);
                let empty = Vec::new();
                let records = state.topics.get(&topic).unwrap_or(&empty);
                let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    if let Some((key, value)) = split_keyed(record) {
                        newest.insert(key, (offset, value));
                    }
                }
                let items = newest.iter().filter(|(_, (_, value))| !value.is_empty()).map(
                    |(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    },
                );
                let items: Vec<String> = items.collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                answer(200, &[], body.as_bytes())
            }
            _ => answer(404, &[], b""),
        }
    }
}

// Stores of KV cache.

/// A part's salt and id.
pub type PartName = (String, String);

#[derive(Clone)]
struct StoredPart {
    tokens: u64,
    is_whole: bool,
    is_freed: Arc<AtomicBool>,
}

#[derive(Default)]
struct CacheState {
    epoch: u64,
    parts: BTreeMap<PartName, StoredPart>,
    /// Number, sign, name and tokens of each change that is told.
    events: Vec<(u64, char, PartName, u64)>,
    /// Number of the last change.
    changes: u64,
    link_free: Option<Instant>,
    /// Whether the next removal of a part is not told: a few events never arrive.
    is_next_removal_lost: bool,
    /// The part whose removal was not told.
    untold: Option<String>,
}

/// A managed store of KV cache.
#[derive(Clone)]
pub struct CacheStore {
    pub name: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub capacity: u64,
    pub link_mbps: f64,
    state: Arc<(Mutex<CacheState>, Condvar)>,
    listener: Arc<Mutex<Option<Listener>>>,
    record: Record,
}

/// Bytes of a token in a cache.
pub const TOKEN_BYTES: u64 = 18_432;
/// Newest events that a store keeps.
const KEPT_EVENTS: usize = 3_000;
/// Milliseconds before the first byte of a transfer.
const FIRST_MS: f64 = 0.5;

/// What an engine reads from a store.
pub struct Fetch {
    pub ends: Instant,
    was_whole: bool,
    is_freed: Arc<AtomicBool>,
    epoch: u64,
}

impl Fetch {
    /// Why what was read is not the part; `None` if it is.
    pub fn fault(&self) -> Option<&'static str> {
        if !self.was_whole {
            Some("was being written")
        } else if self.is_freed.load(Ordering::SeqCst) {
            Some("was freed meanwhile")
        } else {
            None
        }
    }
}

impl CacheStore {
    pub fn start(
        name: &'static str,
        zone: &'static str,
        (capacity, history): (u64, u64),
        link_mbps: f64,
        record: &Record,
    ) -> Self {
        let store = Self {
            name,
            address: free_address(),
            zone,
            capacity,
            link_mbps,
            state: Arc::default(),
            listener: Arc::default(),
            record: record.clone(),
        };
        *lock(&store.state.0) =
            CacheState { epoch: clock_ms(), changes: history, ..CacheState::default() };
        let own = store.clone();
        let listener = Listener::start(store.address, move |request, wire| {
            let bytes = own.answer(request);
            wire.stream.write_all(&bytes).is_ok()
        });
        *lock(&store.listener) = Some(listener);
        store
    }

    /// What the configuration says of it.
    pub fn service(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"kvStoreAddr\":\"{}\",\"zone\":\"{}\",\"kvCapacityTokens\":{},\"linkMbps\":{:.1},\"maxConcurrent\":12,\"managed\":true,\"first_ms\":{FIRST_MS}}}",
            self.name, self.address, self.zone, self.capacity, self.link_mbps
        )
    }

    /// Ends it; it loses all parts.
    pub fn crash(&self) {
        if let Some(listener) = &*lock(&self.listener) {
            listener.crash();
        }
        let mut state = lock(&self.state.0);
        *state = CacheState { epoch: 0, ..CacheState::default() };
        self.record.note(format!("store {} crashes", self.name));
    }

    /// Starts it again, empty.
    pub fn restart(&self) {
        lock(&self.state.0).epoch = clock_ms();
        if let Some(listener) = &*lock(&self.listener) {
            listener.up();
        }
        self.record.note(format!("store {} is back, empty", self.name));
    }

    /// Has the next removal of a part go untold.
    pub fn lose_next_removal(&self) {
        lock(&self.state.0).is_next_removal_lost = true;
    }

    /// The part whose removal went untold.
    pub fn untold(&self) -> Option<String> {
        lock(&self.state.0).untold.clone()
    }

    pub fn holds(&self, id: &str) -> bool {
        lock(&self.state.0).parts.iter().any(|((_, known), part)| known == id && part.is_whole)
    }

    fn reserve_link(&self, state: &mut CacheState, tokens: u64, zone: &str) -> Option<Instant> {
        let now = Instant::now();
        let begin = state.link_free.map_or(now, |free| free.max(now));
        if begin - now > ms(2_000) {
            return None;
        }
        let factor = if zone == self.zone { 1.0 } else { 2.0 };
        let transfer_ms =
            (tokens * TOKEN_BYTES * 8) as f64 / (self.link_mbps * 1_000.0) * factor + FIRST_MS;
        let ends = begin + Duration::from_secs_f64(transfer_ms / 1_000.0);
        state.link_free = Some(ends);
        Some(ends)
    }

    /// Begins to read a part; `None` if it is not there.
    pub fn fetch(&self, name: &PartName, zone: &str) -> Option<Fetch> {
        let mut state = lock(&self.state.0);
        if state.epoch == 0 {
            return None;
        }
        let part = state.parts.get(name)?.clone();
        let ends = self.reserve_link(&mut state, part.tokens, zone)?;
        let epoch = state.epoch;
        Some(Fetch { ends, was_whole: part.is_whole, is_freed: part.is_freed, epoch })
    }

    /// Saves a part; returns once it is saved, or at once if it is lost. It breaks off with its server.
    pub fn save(
        &self,
        name: PartName,
        tokens: u64,
        zone: &str,
        request: &str,
        is_dead: &AtomicBool,
    ) {
        let (ends, epoch, is_freed) = {
            let mut state = lock(&self.state.0);
            let used: u64 = state.parts.values().map(|part| part.tokens).sum();
            if is_dead.load(Ordering::SeqCst)
                || state.epoch == 0
                || state.parts.contains_key(&name)
                || used + tokens > self.capacity
            {
                return;
            }
            let Some(ends) = self.reserve_link(&mut state, tokens, zone) else { return };
            let is_freed = Arc::new(AtomicBool::new(false));
            let part = StoredPart { tokens, is_whole: false, is_freed: Arc::clone(&is_freed) };
            state.parts.insert(name.clone(), part);
            (ends, state.epoch, is_freed)
        };
        self.record.note(format!(
            "store {} begins to take part {} of {tokens} tokens, for {request}",
            self.name, name.1
        ));
        sleep(ends.saturating_duration_since(Instant::now()));
        let mut state = lock(&self.state.0);
        if state.epoch != epoch || is_freed.load(Ordering::SeqCst) {
            return;
        }
        if is_dead.load(Ordering::SeqCst) {
            self.record.note(format!("store {}: the save of part {} broke off", self.name, name.1));
            return;
        }
        if let Some(part) = state.parts.get_mut(&name) {
            part.is_whole = true;
        }
        self.record.note(format!("store {} holds part {}", self.name, name.1));
        self.tell(&mut state, '+', name, tokens);
    }

    fn tell(&self, state: &mut CacheState, sign: char, name: PartName, tokens: u64) {
        state.changes += 1;
        let number = state.changes;
        if sign == '-' && std::mem::take(&mut state.is_next_removal_lost) {
            self.record.note(format!(
                "store {}: the event that part {} is gone never arrives",
                self.name, name.1
            ));
            state.untold = Some(name.1);
        } else {
            state.events.push((number, sign, name, tokens));
        }
        let excess = state.events.len().saturating_sub(KEPT_EVENTS);
        state.events.drain(..excess);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        match request.path() {
            "/api/kv-events" => {
                let since: u64 =
                    request.query("since").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(request.header("wait-ms").parse().unwrap_or(0));
                let mut state = lock(&self.state.0);
                let epoch = state.epoch;
                while state.epoch == epoch
                    && state.events.last().is_none_or(|(number, ..)| *number <= since)
                {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
                let is_lost = since > state.changes || since + (KEPT_EVENTS as u64) < state.changes;
                let events = state.events.iter().filter(|(number, ..)| *number > since);
                let events: Vec<String> = events
                    .map(|(number, sign, (salt, id), tokens)| {
                        format!("[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"m0\"]")
                    })
                    .collect();
                let body = format!(
                    "{{\"epoch\":{},\"nextToken\":{},\"lost\":{is_lost},\"events\":[{}],\"clock_ms\":{}}}",
                    state.epoch,
                    state.changes,
                    events.join(","),
                    clock_ms()
                );
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/api/kv-list" => {
                let state = lock(&self.state.0);
                let parts = |is_whole: bool| {
                    state.parts.iter().filter(move |(_, part)| part.is_whole == is_whole)
                };
                let held = parts(true).map(|((salt, id), part)| {
                    format!("[\"{salt}\",\"{id}\",{},\"m0\"]", part.tokens)
                });
                let partial = parts(false)
                    .map(|((salt, id), part)| format!("[\"{salt}\",\"{id}\",0,{}]", part.tokens));
                let (held, partial): (Vec<_>, Vec<_>) = (held.collect(), partial.collect());
                let body = format!(
                    "{{\"epoch\":{},\"nextToken\":{},\"held\":[{}],\"partial\":[{}]}}",
                    state.epoch,
                    state.changes,
                    held.join(","),
                    partial.join(",")
                );
                drop(state);
                self.record.note(format!("store {} is listed", self.name));
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/api/kv-free" => {
                let body = request.text();
                let number = |name: &str| {
                    let rest = body.split_once(&format!("\"{name}\":"))?.1;
                    rest.split(|digit: char| !digit.is_ascii_digit()).next()?.parse::<u64>().ok()
                };
                let mut state = lock(&self.state.0);
                if number("epoch").is_some_and(|epoch| epoch != state.epoch)
                    || number("until_ms").is_some_and(|until| until < clock_ms())
                {
                    return answer(409, &[], b"");
                }
                let list = body.split_once("\"parts\":[").map_or("", |(_, rest)| rest);
                let list = list.split_once("]]").map_or("", |(list, _)| list);
                for pair in list.split("],[") {
                    let texts: Vec<&str> = pair.split('"').collect();
                    let (Some(salt), Some(id)) = (texts.get(1), texts.get(3)) else { continue };
                    let name = ((*salt).to_owned(), (*id).to_owned());
                    let Some(part) = state.parts.remove(&name) else { continue };
                    part.is_freed.store(true, Ordering::SeqCst);
                    self.record.note(format!("store {} frees part {} on order", self.name, name.1));
                    self.tell(&mut state, '-', name, 0);
                }
                answer(200, &[], b"{}")
            }
            "/api/report" => {
                let state = lock(&self.state.0);
                let used: u64 = state.parts.values().map(|part| part.tokens).sum();
                let body = format!(
                    "{{\"kvUsed\":{used},\"kvTotal\":{},\"epoch\":{}}}",
                    self.capacity, state.epoch
                );
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            _ => answer(404, &[], b""),
        }
    }
}

// Servers.

/// A request that ran at a server.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// Faults of what the run read from stores, in words.
    pub faults: Vec<String>,
}

struct EngineState {
    /// Whether an order is being carried out.
    is_busy: bool,
    slots_free: usize,
    /// Tickets that wait for a slot, first come first served.
    waiting: VecDeque<u64>,
    cached: VecDeque<(PartName, u64)>,
    version: u64,
    orders: Vec<(String, u64, u64)>,
}

/// A model server: fetches, reads and saves the parts of prompts, and streams events.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: usize,
    pub memory: u64,
    state: Arc<(Mutex<EngineState>, Condvar)>,
    stores: Arc<Vec<CacheStore>>,
    pub runs: Arc<Mutex<Vec<ServerRun>>>,
    /// Where it writes its entry when its weights change.
    registry: Arc<Mutex<Option<LogStore>>>,
    listener: Arc<Mutex<Option<Listener>>>,
    is_dead: Arc<AtomicBool>,
    record: Record,
}

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 48.2;
const FIRST_TOKEN_MS: u64 = 14;

static TICKETS: AtomicU64 = AtomicU64::new(1);

impl Engine {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        memory: u64,
        stores: &Arc<Vec<CacheStore>>,
        record: &Record,
    ) -> Self {
        let state = EngineState {
            is_busy: false,
            slots_free: slots,
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
            version: 1,
            orders: Vec::new(),
        };
        let engine = Self {
            id: id.to_owned(),
            service,
            address: free_address(),
            zone,
            slots,
            memory,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            stores: Arc::clone(stores),
            runs: Arc::default(),
            registry: Arc::default(),
            listener: Arc::default(),
            is_dead: Arc::default(),
            record: record.clone(),
        };
        let own = engine.clone();
        let listener =
            Listener::start(engine.address, move |request, wire| own.serve(request, wire));
        *lock(&engine.listener) = Some(listener);
        engine
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let version = lock(&self.state.0).version;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":{version},\"adapters\":[]}}],\"seq\":0}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    fn load(&self) -> String {
        let state = lock(&self.state.0);
        format!("{},{},{}", self.slots - state.slots_free, state.waiting.len(), self.slots)
    }

    fn serve(&self, request: &Message, wire: &mut Wire) -> bool {
        let id = request.header("x-request-id").to_owned();
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let bytes = answer(
                421,
                &[("X-Instance-Id", &self.id), ("X-Request-Id", &id), ("X-Not-Executed", "1")],
                b"",
            );
            return wire.stream.write_all(&bytes).is_ok();
        }
        match request.path() {
            "/api/report" => {
                let state = lock(&self.state.0);
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}],\"busy\":{},\"seq\":{},\"queued\":{},\"running\":{},\"kvUsed\":0,\"kvTotal\":{},\"handles\":0}}",
                    state.version,
                    state.is_busy,
                    state.orders.len(),
                    state.waiting.len(),
                    self.slots - state.slots_free,
                    self.memory
                );
                drop(state);
                return wire.stream.write_all(&answer(200, &[], body.as_bytes())).is_ok();
            }
            "/api/order" => {
                let status = self.take_order(&request.text());
                return wire.stream.write_all(&answer(status, &[], b"")).is_ok();
            }
            "/health" => {
                let load = self.load();
                let bytes =
                    answer(200, &[("X-Instance-Id", &self.id), ("X-Server-Load", &load)], b"");
                return wire.stream.write_all(&bytes).is_ok();
            }
            _ => {}
        }
        let version = request.header("x-expect-version");
        let own_version = lock(&self.state.0).version.to_string();
        if !version.is_empty() && version != own_version {
            let bytes = answer(
                421,
                &[
                    ("X-Instance-Id", &self.id),
                    ("X-Request-Id", &id),
                    ("X-Weight-Versions", &own_version),
                    ("X-Not-Executed", "1"),
                ],
                b"",
            );
            return wire.stream.write_all(&bytes).is_ok();
        }
        let header = |name: &str| {
            if request.has(name) { request.header(name).to_owned() } else { "none".to_owned() }
        };
        self.record.note(format!(
            "{} takes in {id}: prefix {}, salt {}, fetch {} until {}, save {}",
            self.id,
            header("x-prompt-prefix"),
            header("x-cache-salt"),
            header("x-kv-fetch"),
            request.header("x-kv-until").parse::<u64>().map_or("none".to_owned(), |until| format!(
                "{} ms from now",
                until as i64 - clock_ms() as i64
            )),
            header("x-kv-save")
        ));
        if !self.take_slot() {
            let bytes = answer(503, &[("X-Not-Executed", "1"), ("X-Request-Id", &id)], b"");
            return wire.stream.write_all(&bytes).is_ok();
        }
        let mut run = ServerRun { faults: Vec::new() };
        self.record.note(format!("{} begins with {id}", self.id));
        self.prepare(request, &id, &mut run);
        lock(&self.runs).push(run);
        let load = self.load();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\nX-Response-Seal: seal.{}\r\nX-Weight-Versions: {own_version}\r\nX-Server-Load: {load}\r\n\r\n",
            self.id
        );
        let events: u64 = request
            .header("x-token-usage")
            .split_once(',')
            .and_then(|(_, output)| output.parse().ok())
            .unwrap_or(5);
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut is_sent = wire.stream.write_all(head.as_bytes()).is_ok();
        for number in from + 1..=events {
            if !is_sent {
                break;
            }
            let event = format!("id: {number}\ndata: token {number}\n\n");
            is_sent = wire
                .stream
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_ok();
            sleep(ms(20));
        }
        is_sent = is_sent && wire.stream.write_all(b"0\r\n\r\n").is_ok();
        self.give_slot();
        self.record.note(format!("{} is done with {id}", self.id));
        is_sent
    }

    /// Takes an order to load weights: its runs finish first, and what has not begun is refused.
    fn take_order(&self, body: &str) -> u16 {
        let field = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            Some(rest.split([',', '}']).next()?.trim().trim_matches('"').to_owned())
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(version), Some(fence), Some(holder)) =
            (number("version"), number("fence"), field("holder"))
        else {
            return 400;
        };
        let mut state = lock(&self.state.0);
        if number("expect").is_some_and(|expected| expected != state.orders.len() as u64)
            || state.is_busy
        {
            return 409;
        }
        state.orders.push((holder.clone(), fence, version));
        self.record.note(format!(
            "{} takes an order for weights {version} of {holder}, generation {fence}",
            self.id
        ));
        if state.version >= version {
            return 200;
        }
        state.is_busy = true;
        drop(state);
        self.state.1.notify_all();
        let engine = self.clone();
        spawn(move || {
            while lock(&engine.state.0).slots_free < engine.slots {
                sleep(ms(2));
            }
            sleep(ms(900));
            let mut state = lock(&engine.state.0);
            (state.version, state.is_busy) = (version, false);
            state.cached.clear();
            drop(state);
            if let Some(log) = &*lock(&engine.registry) {
                log.put("keyed.servers", &engine.id, &engine.entry("ready"));
            }
            engine.record.note(format!("{} has weights {version}", engine.id));
        });
        202
    }

    /// Waits for a slot; returns false if an order comes first.
    fn take_slot(&self) -> bool {
        let ticket = TICKETS.fetch_add(1, Ordering::SeqCst);
        let mut state = lock(&self.state.0);
        state.waiting.push_back(ticket);
        while !state.is_busy && (state.slots_free == 0 || state.waiting.front() != Some(&ticket)) {
            let waited = self.state.1.wait(state);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        state.waiting.retain(|known| *known != ticket);
        let is_taken = !state.is_busy;
        if is_taken {
            state.slots_free -= 1;
        }
        drop(state);
        self.state.1.notify_all();
        is_taken
    }

    fn give_slot(&self) {
        lock(&self.state.0).slots_free += 1;
        self.state.1.notify_all();
    }

    fn is_cached(&self, name: &PartName) -> bool {
        let mut state = lock(&self.state.0);
        let place = state.cached.iter().position(|(known, _)| known == name);
        let entry = place.and_then(|place| state.cached.remove(place));
        let is_known = entry.is_some();
        state.cached.extend(entry);
        is_known
    }

    fn cache(&self, name: &PartName, tokens: u64) {
        if self.is_cached(name) {
            return;
        }
        let mut state = lock(&self.state.0);
        state.cached.push_back((name.clone(), tokens));
        while state.cached.iter().map(|(_, tokens)| tokens).sum::<u64>() > self.memory {
            state.cached.pop_front();
        }
    }

    /// Fetches what is to be fetched, reads the rest, and begins to save.
    fn prepare(&self, request: &Message, id: &str, run: &mut ServerRun) {
        let salt = request.header("x-cache-salt");
        let list = |name: &str| {
            request
                .header(name)
                .split(',')
                .map(|text| text.trim().parse::<SocketAddr>().ok())
                .collect::<Vec<_>>()
        };
        let (sources, targets) = (list("x-kv-fetch"), list("x-kv-save"));
        let until: u64 = request.header("x-kv-until").parse().unwrap_or(u64::MAX);
        let parts =
            request.header("x-prompt-prefix").split(',').filter_map(|part| part.split_once(':'));
        let parts: Vec<(PartName, u64)> = parts
            .filter_map(|(part, tokens)| {
                Some(((salt.to_owned(), part.to_owned()), tokens.parse().ok()?))
            })
            .collect();
        let mut lacking = 0;
        let mut is_prefix = true;
        for (place, (name, tokens)) in parts.iter().enumerate() {
            if is_prefix && self.is_cached(name) {
                continue;
            }
            let source = sources.get(place).copied().flatten();
            let store = self.stores.iter().find(|store| is_prefix && Some(store.address) == source);
            let is_fetched = store.is_some_and(|store| self.fetch(store, name, until, id, run));
            is_prefix &= is_fetched;
            if !is_fetched {
                lacking += tokens;
            }
        }
        sleep(ms((lacking as f64 / TOKENS_PER_MS) as u64 + FIRST_TOKEN_MS));
        if self.is_dead.load(Ordering::SeqCst) {
            return;
        }
        let saves: Vec<(CacheStore, PartName, u64)> = parts
            .iter()
            .enumerate()
            .filter_map(|(place, (name, tokens))| {
                let target = targets.get(place).copied().flatten()?;
                let store = self.stores.iter().find(|store| store.address == target)?;
                Some((store.clone(), name.clone(), *tokens))
            })
            .collect();
        parts.iter().for_each(|(name, tokens)| self.cache(name, *tokens));
        let (engine, request) = (self.clone(), id.to_owned());
        spawn(move || {
            for (store, name, tokens) in saves {
                store.save(name, tokens, engine.zone, &request, &engine.is_dead);
            }
        });
    }

    /// Fetches a part from a store; returns whether the run goes on from it.
    fn fetch(
        &self,
        store: &CacheStore,
        name: &PartName,
        until: u64,
        id: &str,
        run: &mut ServerRun,
    ) -> bool {
        let Some(fetch) = store.fetch(name, self.zone) else {
            self.record.note(format!(
                "{} finds no part {} at {} for {id}: a miss",
                self.id, name.1, store.name
            ));
            return false;
        };
        let limit = Instant::now() + ms(until.saturating_sub(clock_ms()).min(60_000));
        sleep(fetch.ends.min(limit).saturating_duration_since(Instant::now()));
        if fetch.ends > limit {
            self.record.note(format!(
                "{} throws away part {} for {id}: X-Kv-Until has passed",
                self.id, name.1
            ));
            return false;
        }
        if self.is_dead.load(Ordering::SeqCst) {
            return false;
        }
        if lock(&store.state.0).epoch != fetch.epoch {
            self.record.note(format!(
                "{}: the fetch of part {} for {id} broke off with its store",
                self.id, name.1
            ));
            return false;
        }
        let own_version = lock(&self.state.0).version.to_string();
        let is_stale = name.0.split('/').nth(1) != Some(&own_version);
        match fetch.fault().or(is_stale.then_some("was made under other weights")) {
            None => {
                self.record.note(format!("{} has fetched part {} whole for {id}", self.id, name.1))
            }
            Some(fault) => {
                let text = format!(
                    "{id} goes on from part {} of store {}, which {fault}",
                    name.1, store.name
                );
                self.record.note(format!("RULE MIXED: {text}"));
                run.faults.push(text);
            }
        }
        true
    }
}

// Daemons.

/// A daemon's process; killed when dropped.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
}

/// What the settings of all daemons share.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<&'static str>,
}

impl Deployment {
    /// A deployment whose processes run in the repository, and write to a temporary folder.
    pub fn new(store: &LogStore, zones: &[&'static str]) -> Self {
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), clock_ms()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        lock(&FOLDERS).push(folder.clone());
        Self { folder, store: store.address, zones: zones.to_vec() }
    }

    /// Starts a daemon.
    pub fn daemon(&self, number: usize) -> Daemon {
        let zone = self.zones[(number - 1) % self.zones.len()];
        let name = format!("edge-{zone}-{number}");
        let ip = daemon_ip(number);
        let [callers, readiness, directory, control] = [(); 4].map(|()| free_address_at(ip));
        let (first, last) = free_pair(ip);
        let zones: Vec<String> =
            self.zones.iter().map(|zone| format!("\"{zone}\":\"region-a\"")).collect();
        let settings = format!(
            "{{\"node\":\"{name}\",\"role\":\"daemon\",\"machineClass\":\"edge\",\"serves\":[\"edge\",\"directory\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"region-a\",\"zones\":{{{}}},\
             \"listen\":{{\"front\":\"{callers}\",\"ready\":\"{readiness}\",\"control\":\"{control}\",\"directory\":\"{directory}\"}},\"portRange\":[{first},{last}],\"seeds\":[],\"firstStart\":true,\"lossCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":110,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeatMs\":1200,\
             \"policies\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"platform\"],\"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedStalenessS\":3,\"reuseAfterS\":2,\"stableMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"skewMaxMs\":5000,\"strictRevoke\":false,\"revokeMs\":5000,\
             \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retrySlack\":52,\"recoveryS\":12,\"transitMs\":120,\"reuseWindowS\":20,\"requireFence\":false,\"leaseMs\":3000,\"thawMs\":300,\"versionMs\":12000,\"versionAllMs\":17000,\"ttl_max_s\":5}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,\"parts\":8,\"appendMs\":4.0,\"partMbPerS\":20.0,\"readMbPerS\":80.0,\"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":300,\"partMb\":200,\"ttlMinMs\":1000}}}}",
            zones.join(","),
            self.store
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("settings");
        let child = launch(&path, &self.folder.join(format!("{name}.log")));
        Daemon { child, callers, readiness, settings: path }
    }

    /// Waits until all daemons are ready.
    pub fn await_ready(&self, daemons: &[Daemon]) -> bool {
        let until = Instant::now() + ms(15_000);
        daemons.iter().all(|daemon| {
            while Instant::now() < until {
                let request = b"GET /api/readiness HTTP/1.1\r\nHost: platform\r\n\r\n";
                if ask(daemon.readiness, request, 1_000)
                    .is_some_and(|answer| answer.status() == 200)
                {
                    return true;
                }
                sleep(ms(50));
            }
            false
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.folder));
        } else {
            eprintln!("logs are in {}", self.folder.display());
        }
    }
}

/// Processes that were started and have not been ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Folders that were made and have not been removed.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends what a case that did not come to its end has left.
pub fn end_all() {
    for id in lock(&PROCESSES).drain(..) {
        drop(Command::new("kill").arg("-KILL").arg(id.to_string()).status());
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        for folder in lock(&FOLDERS).drain(..) {
            drop(std::fs::remove_dir_all(folder));
        }
    }
}

fn launch(settings: &Path, log: &Path) -> Child {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    // The command of the deploy file.
    let child = Command::new("target/release/guavatiller")
        .arg("platform")
        .env("GUAVATILLER_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the program of the deploy file");
    lock(&PROCESSES).push(child.id());
    child
}

impl Daemon {
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        lock(&PROCESSES).retain(|id| *id != self.child.id());
    }

    /// Has the process end as the platform does, and waits until it has ended, for 15 s at most.
    pub fn terminate(&mut self) {
        drop(Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status());
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until && matches!(self.child.try_wait(), Ok(None)) {
            sleep(ms(20));
        }
        self.kill();
    }

    /// Starts the process again with its settings, no longer as the first time.
    pub fn restart(&mut self) {
        self.kill();
        let settings = std::fs::read_to_string(&self.settings).expect("settings");
        let settings = settings.replace("\"firstStart\":true", "\"firstStart\":false");
        std::fs::write(&self.settings, settings).expect("settings");
        self.child = launch(&self.settings, &self.settings.with_extension("log"));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// Clients.

/// Sends bytes on a new connection and reads the answer.
pub fn ask(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    drop(stream.set_read_timeout(Some(ms(timeout_ms))));
    let mut wire = Wire::new(stream);
    wire.stream.write_all(request).ok()?;
    wire.read(true)
}

/// A client's prompt.
pub fn prompt(path: &str, id: &str, prefix: &str, output: u64, key: &str) -> Vec<u8> {
    let input: u64 =
        prefix.split(',').filter_map(|part| part.split_once(':')?.1.parse::<u64>().ok()).sum();
    let body = "a prompt";
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Model: m0\r\nX-Token-Usage: {input},{output}\r\nX-Prompt-Prefix: {prefix}\r\nX-Timeout-Ms: 10000\r\nAuthorization: Token {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request from a client of its own; returns a handle on its answer.
pub fn send(
    record: &Record,
    daemon: SocketAddr,
    id: &str,
    bytes: Vec<u8>,
) -> std::thread::JoinHandle<Option<Message>> {
    record.note(format!("client sends {id}"));
    let (record, id) = (record.clone(), id.to_owned());
    spawn(move || {
        let answer = ask(daemon, &bytes, 11_000);
        match &answer {
            Some(answer) => record.note(format!(
                "client gets {} for {id}, whole: {}, {} bytes",
                answer.status(),
                answer.is_whole,
                answer.body.len()
            )),
            None => record.note(format!("client gets no answer for {id}")),
        }
        answer
    })
}
