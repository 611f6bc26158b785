//! Servers: model engines that stream, and instances of a plain service.

use crate::http::{
    Connection, Head, answer, chunk, digest, json_field, json_number, listen, read_body, read_head,
};
use crate::kv_store::KvStore;
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between two entries of a server in the list.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long an engine takes to load weights.
const LOAD_MS: u64 = 900;
/// Loads at a time from which each takes longer.
const FAST_LOADS: usize = 3;
const SLOTS: usize = 64;

/// Second answers that a faulty server sends late: at the point where the next answer on the
/// connection is expected. Sent twice is its first report after each load of weights, as long as no
/// more than a share of its answers is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExtraAnswers {
    /// Largest share of the answers that are sent twice; 0 while the server is sound.
    share: f64,
    /// Answers while the server was faulty, and those of them that were sent twice.
    pub answers: u64,
    pub extras: u64,
}

#[derive(Debug)]
struct State {
    version: u64,
    orders: u64,
    is_loading: bool,
    running: usize,
    has_news: bool,
    extra: ExtraAnswers,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: String,
    model: Option<String>,
    state: Arc<Mutex<State>>,
    loads: Arc<AtomicUsize>,
    kv_stores: Arc<Vec<KvStore>>,
    record: Record,
}

/// What the servers of one service share.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    /// The model that its engines serve; `None` for a plain service.
    pub model: Option<String>,
    pub loads: Arc<AtomicUsize>,
    /// The stores of kept KV cache, to which its engines save parts.
    pub kv_stores: Arc<Vec<KvStore>>,
}

impl Server {
    /// Starts a server and its entries in the list.
    pub fn start(id: &str, zone: &str, service: &Service, store: &Store, record: &Record) -> Self {
        let state = State {
            version: 1,
            orders: 0,
            is_loading: false,
            running: 0,
            has_news: false,
            extra: ExtraAnswers::default(),
        };
        let mut server = Self {
            id: id.to_owned(),
            address: ([127, 0, 0, 1], 0).into(),
            zone: zone.to_owned(),
            service: service.name.clone(),
            model: service.model.clone(),
            state: Arc::new(Mutex::new(state)),
            loads: Arc::clone(&service.loads),
            kv_stores: Arc::clone(&service.kv_stores),
            record: record.clone(),
        };
        let serving = server.clone();
        server.address = listen(move |stream| serving.clone().serve(stream));
        let (listed, store) = (server.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                store.put("keyed.servers", &listed.id, &listed.entry(sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn entry(&self, sequence: u64) -> String {
        let (address, service, zone) = (self.address, &self.service, &self.zone);
        let version = self.state.lock().unwrap().version;
        let models = self.model.as_ref().map_or(String::new(), |model| {
            format!("{{\"name\":\"{model}\",\"version\":{version},\"adapters\":[]}}")
        });
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\
             \"stage\":\"unified\",\"models\":[{models}],\"seq\":{sequence}}}"
        )
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Sets the largest share of the answers that are sent twice from now on; 0 for none.
    pub fn set_extra(&self, share: f64) {
        self.state.lock().unwrap().extra.share = share;
    }

    /// How many answers were sent twice.
    pub fn extra(&self) -> ExtraAnswers {
        self.state.lock().unwrap().extra
    }

    /// Whether an answer that was just given is sent once more.
    fn is_sent_twice(&self, target: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_news = target == "/api/report" && !state.is_loading && state.has_news;
        state.has_news &= !is_news;
        let extra = &mut state.extra;
        if extra.share == 0.0 {
            return false;
        }
        extra.answers += 1;
        let is_within = (extra.extras + 1) as f64 <= extra.answers as f64 * extra.share;
        extra.extras += u64::from(is_news && is_within);
        is_news && is_within
    }

    fn serve(self, stream: std::net::TcpStream) {
        let Ok(mut connection) = Connection::new(stream) else { return };
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(head)) = read_head(&mut connection.input) {
            let Ok(body) = read_body(&head, &mut connection.input) else { return };
            let what = format!("{} {}", head.start, head.get("x-request-id").unwrap_or("-"));
            if let Some((of, bytes)) = extra.take() {
                // The late second answer to what came before on this connection.
                let line =
                    format!("extra {} repeats its answer to [{of}] before [{what}]", self.id);
                self.record.line(&line);
                if connection.output.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Ok(sent) = self.answer(&head, &body, &mut connection.output) else { return };
            if self.is_sent_twice(head.request_line().1) {
                extra = Some((what, sent));
            }
        }
    }

    /// Answers a call or a request; returns the bytes sent.
    fn answer(
        &self,
        head: &Head,
        body: &[u8],
        output: &mut impl Write,
    ) -> std::io::Result<Vec<u8>> {
        let target = head.request_line().1;
        let is_expected = head.get("x-expect-instance").is_none_or(|id| id == self.id);
        let bytes = if !is_expected {
            answer("421 Misdirected Request", &[("X-Instance-Id", &self.id)], b"")
        } else if target == "/api/report" {
            self.report()
        } else if target == "/api/order" {
            self.take_order(&String::from_utf8_lossy(body))
        } else if target == "/health" {
            answer("200 OK", &[("X-Instance-Id", &self.id)], b"")
        } else if self.model.is_some() {
            return self.stream(head, output);
        } else {
            self.run_call(head, body)
        };
        output.write_all(&bytes)?;
        Ok(bytes)
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let model = self.model.as_deref().unwrap_or_default();
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":{},\
             \"adapters\":[]}}],\"busy\":{},\"seq\":{},\"queued\":0,\"running\":{},\
             \"kvUsed\":1000,\"kvTotal\":67711,\"handles\":0}}",
            state.version, state.is_loading, state.orders, state.running
        );
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn take_order(&self, order: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let version = json_number(order, "version").unwrap_or(0);
        let holder = json_field(order, "holder").unwrap_or_default();
        self.record.line(&format!("order {} version {version} by {holder}", self.id));
        let expected = json_number(order, "expect");
        if state.is_loading || expected.is_some_and(|expected| expected != state.orders) {
            return answer("409 Conflict", &[], b"");
        }
        if version <= state.version {
            return answer("200 OK", &[], b"");
        }
        state.orders += 1;
        state.is_loading = true;
        let server = self.clone();
        thread::spawn(move || server.load(version));
        answer("202 Accepted", &[], b"")
    }

    /// Loads weights once the runs have finished.
    fn load(&self, version: u64) {
        while self.state.lock().unwrap().running > 0 {
            thread::sleep(Duration::from_millis(5));
        }
        let others = self.loads.fetch_add(1, Ordering::SeqCst);
        let slowness = (others + 1).max(FAST_LOADS) as f64 / FAST_LOADS as f64;
        thread::sleep(Duration::from_millis((LOAD_MS as f64 * slowness) as u64));
        self.loads.fetch_sub(1, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        (state.version, state.is_loading, state.has_news) = (version, false, true);
        self.record.line(&format!("loaded {} version {version}", self.id));
    }

    /// Begins a run; `None` if the engine loads weights or has others than expected.
    fn begin(&self, head: &Head, id: &str) -> Result<u64, Vec<u8>> {
        let mut state = self.state.lock().unwrap();
        let expected: Option<u64> =
            head.get("x-expect-version").and_then(|version| version.parse().ok());
        let echo = [("X-Request-Id", id), ("X-Not-Executed", "1")];
        if state.is_loading || state.running >= SLOTS {
            return Err(answer("503 Service Unavailable", &echo, b""));
        }
        if expected.is_some_and(|expected| expected != state.version) {
            let version = state.version.to_string();
            let told =
                [echo[0], echo[1], ("X-Instance-Id", &self.id), ("X-Weight-Versions", &version)];
            return Err(answer("421 Misdirected Request", &told, b""));
        }
        state.running += 1;
        self.record.line(&format!("run {id} at {} version {}", self.id, state.version));
        Ok(state.version)
    }

    fn end(&self) {
        self.state.lock().unwrap().running -= 1;
    }

    fn stream(&self, head: &Head, output: &mut impl Write) -> std::io::Result<Vec<u8>> {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        let version = match self.begin(head, &id) {
            Ok(version) => version,
            Err(refusal) => {
                output.write_all(&refusal)?;
                return Ok(refusal);
            }
        };
        let sent = self.send_events(head, &id, version, output);
        self.end();
        sent
    }

    fn send_events(
        &self,
        head: &Head,
        id: &str,
        version: u64,
        output: &mut impl Write,
    ) -> std::io::Result<Vec<u8>> {
        let after: u64 =
            head.get("last-event-id").and_then(|event| event.parse().ok()).unwrap_or(0);
        self.save_parts(head);
        let count = 4 + digest(id.as_bytes()) % 6;
        let event = |number: u64| format!("id: {number}\ndata: token {number} of {id}\n\n");
        let whole: String = (1..=count).map(event).collect();
        let seal = seal(&self.id, id, whole.as_bytes());
        thread::sleep(Duration::from_millis(30));
        let first = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Response-Seal: {seal}\r\nX-Weight-Versions: {version}\r\nKeep-Alive: timeout=5\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut sent = first.into_bytes();
        output.write_all(&sent)?;
        for number in after + 1..=count {
            let piece = chunk(event(number).as_bytes());
            output.write_all(&piece)?;
            sent.extend(piece);
            thread::sleep(Duration::from_millis(8));
        }
        output.write_all(&chunk(b""))?;
        sent.extend(chunk(b""));
        Ok(sent)
    }

    /// Saves the parts of the prompt that the request names a store for.
    fn save_parts(&self, head: &Head) {
        let salt = head.get("x-cache-salt").unwrap_or_default();
        let stores = head.get("x-kv-save").unwrap_or_default().split(',');
        let parts = head.get("x-prompt-prefix").unwrap_or_default().split(',');
        for (part, store) in parts.zip(stores) {
            let Some((id, tokens)) = part.trim().split_once(':') else { continue };
            let store = self.kv_stores.iter().find(|it| it.address.to_string() == store.trim());
            if let (Some(store), Ok(tokens)) = (store, tokens.parse()) {
                store.save(salt, id, tokens, self.model.as_deref().unwrap_or_default());
            }
        }
    }

    fn run_call(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        if let Err(refusal) = self.begin(head, &id) {
            return refusal;
        }
        thread::sleep(Duration::from_millis(15));
        let text = format!("answer to {id} with {} bytes\n", body.len()).repeat(12);
        let seal = seal(&self.id, &id, text.as_bytes());
        let load = format!("{},0,{SLOTS}", self.state.lock().unwrap().running);
        self.end();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Seal", &seal),
            ("X-Server-Load", &load),
            ("Keep-Alive", "timeout=5"),
        ];
        answer("200 OK", &headers, text.as_bytes())
    }
}

/// The signature of an answer: by whom, to what, and of which body.
pub fn seal(server: &str, request: &str, body: &[u8]) -> String {
    format!("{server}.{request}.{:016x}", digest(body))
}

/// How often requests ran, by id.
pub fn runs_by_request(lines: &[String]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for line in lines {
        let mut fields = line.split(' ').skip(1);
        if fields.next() == Some("run")
            && let Some(id) = fields.next()
        {
            *runs.entry(id.to_owned()).or_insert(0) += 1;
        }
    }
    runs
}
