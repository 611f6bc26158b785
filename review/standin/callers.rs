//! Callers: ask a daemon's directory for addresses, keep connections open, and check every answer.

use crate::http::{Connection, Head, Random, digest, json_field};
use crate::record::Record;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const HOST: &str = "hunt.example";
pub const KEY: &str = "key-of-club";
pub const MODEL: &str = "m0";

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may run once.
    Verify,
    /// A stream that may be resumed.
    Draft,
    /// A call that may run once.
    Submit,
    /// A call that may be repeated.
    Ask,
}

impl Kind {
    pub const ALL: [Self; 4] = [Self::Verify, Self::Draft, Self::Submit, Self::Ask];

    pub fn name(self) -> &'static str {
        match self {
            Self::Verify => "verify",
            Self::Draft => "draft",
            Self::Submit => "submit",
            Self::Ask => "ask",
        }
    }

    /// Requests a second of all callers, as on the sheet.
    fn per_second(self) -> f64 {
        match self {
            Self::Verify => 24.5,
            Self::Draft => 158.0,
            Self::Submit => 45.7,
            Self::Ask => 18.3,
        }
    }

    fn timeout_ms(self) -> u64 {
        match self {
            Self::Verify => 6_000,
            Self::Draft => 4_000,
            Self::Submit | Self::Ask => 600,
        }
    }

    /// Whether it may run once only.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Verify | Self::Submit)
    }

    fn request(self, id: &str, random: &mut Random) -> Vec<u8> {
        let (name, timeout) = (self.name(), self.timeout_ms());
        let method = if self == Self::Ask { "GET" } else { "POST" };
        let body = match self {
            Self::Ask => String::new(),
            Self::Submit => "s".repeat(600),
            Self::Draft => "d".repeat(380),
            Self::Verify => "v".repeat(17_000),
        };
        let prompt = match self {
            Self::Verify => format!(
                "X-Model: {MODEL}\r\nX-Token-Usage: 17060,17\r\nX-Prompt-Prefix: {:08x}:12800,{:08x}:4260\r\n",
                random.below(196),
                digest(id.as_bytes()) as u32
            ),
            Self::Draft => format!(
                "X-Model: {MODEL}\r\nX-Token-Usage: 383,6\r\nX-Prompt-Prefix: {:08x}:55,{:08x}:246,{:08x}:82\r\n",
                1_000 + random.below(20),
                2_000 + random.below(1_267),
                digest(id.as_bytes()) as u32
            ),
            Self::Submit | Self::Ask => String::new(),
        };
        let length = match self {
            Self::Ask => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        format!(
            "{method} /{name}/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Timeout-Ms: {timeout}\r\n{prompt}Authorization: Token {KEY}\r\n{length}\r\n{body}"
        )
        .into_bytes()
    }
}

/// What became of one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    pub kind: Kind,
    pub id: String,
    /// Status; 0 without a complete answer.
    pub status: u16,
    /// Why a success is none, if it is none.
    pub wrong: Option<String>,
}

/// Why a success is not the answer to this request: no signature, or one of another request or body.
fn fault_of(id: &str, head: &Head, body: &[u8]) -> Option<String> {
    if !(200..300).contains(&head.status()) {
        return None;
    }
    let text: String = String::from_utf8_lossy(body).chars().take(160).collect();
    let Some(seal) = head.get("x-response-seal") else {
        return Some(format!("status {} without X-Response-Seal, body {text:?}", head.status()));
    };
    let mut fields = seal.rsplitn(3, '.');
    let (hash, request) = (fields.next().unwrap_or_default(), fields.next().unwrap_or_default());
    if request != id {
        return Some(format!("signed for request {request}, body {text:?}"));
    }
    (hash != format!("{:016x}", digest(body))).then(|| format!("not the whole body: {text:?}"))
}

/// Callers that run until they are told to stop.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Answer>>>,
}

/// How long a connection may have been idle that is used again: four fifths of the configured limit.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Callers of all kinds together.
const WORKERS: usize = 96;

impl Callers {
    /// Starts callers, which ask these directories for addresses.
    pub fn start(directories: Vec<SocketAddr>, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let total: f64 = Kind::ALL.iter().map(|kind| kind.per_second()).sum();
        let threads = (0..WORKERS).map(|number| {
            let caller = Caller {
                number,
                directories: directories.clone(),
                addresses: Vec::new(),
                asked: None,
                open: HashMap::new(),
                random: Random(number as u64 + 77),
                record: record.clone(),
            };
            let stop = Arc::clone(&stop);
            thread::spawn(move || caller.run(&stop, total / WORKERS as f64))
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    /// Stops the callers; returns all their answers.
    pub fn stop(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|caller| caller.join().unwrap_or_default()).collect()
    }
}

struct Caller {
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    /// Open connections, with the end of their last answers.
    open: HashMap<SocketAddr, (Connection, Instant)>,
    random: Random,
    record: Record,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool, per_second: f64) -> Vec<Answer> {
        let mut answers = Vec::new();
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            let pause = -(1.0 - self.random.fraction()).ln() / per_second;
            thread::sleep(Duration::from_secs_f64(pause.min(5.0)));
            let kind = self.draw_kind();
            count += 1;
            let id = format!("{:02x}{count:06x}", self.number);
            let first = self.attempt(kind, &id, false);
            let may_repeat =
                matches!(first.status, 503 | 429) || (!kind.runs_once() && first.status != 200);
            let wait = Duration::from_millis(150);
            answers.push(first);
            if may_repeat {
                thread::sleep(wait);
                answers.push(self.attempt(kind, &format!("{id}r"), true));
            }
        }
        answers
    }

    fn draw_kind(&mut self) -> Kind {
        let total: f64 = Kind::ALL.iter().map(|kind| kind.per_second()).sum();
        let mut left = self.random.fraction() * total;
        for kind in Kind::ALL {
            left -= kind.per_second();
            if left < 0.0 {
                return kind;
            }
        }
        Kind::Draft
    }

    /// Asks for addresses once a second, as long as the answers may be kept.
    fn refresh(&mut self) {
        if self.asked.is_some_and(|asked| asked.elapsed() < Duration::from_secs(1)) {
            return;
        }
        let first = self.random.below(self.directories.len());
        for place in 0..self.directories.len().min(3) {
            let directory = self.directories[(first + place) % self.directories.len()];
            let request = format!(
                "GET /api/resolve?name={HOST}&region=praha&zone=karlin HTTP/1.1\r\nHost: {directory}\r\n\r\n"
            );
            let asked = Connection::open(directory, Duration::from_secs(1))
                .and_then(|mut connection| connection.ask(request.as_bytes()));
            let Ok((head, body)) = asked else { continue };
            if head.status() != 200 {
                continue;
            }
            let text = String::from_utf8_lossy(&body).into_owned();
            let list = text.split('[').nth(1).and_then(|rest| rest.split(']').next());
            let list = list.unwrap_or_default().split(',');
            self.addresses =
                list.filter_map(|address| address.trim_matches('"').parse().ok()).collect();
            debug_assert!(json_field(&text, "ttlS").is_some());
            self.asked = Some(Instant::now());
            self.open.retain(|address, _| self.addresses.contains(address));
            return;
        }
    }

    fn attempt(&mut self, kind: Kind, id: &str, is_new: bool) -> Answer {
        self.refresh();
        let answered = self.send(kind, id, is_new);
        let (status, wrong) = match &answered {
            Ok((head, body)) => (head.status(), fault_of(id, head, body)),
            Err(_) => (0, None),
        };
        let outcome = match (&answered, &wrong) {
            (_, Some(wrong)) => format!("WRONG {status}: {wrong}"),
            (Err(error), None) => format!("broken: {error}"),
            (Ok(_), None) => status.to_string(),
        };
        self.record.line(&format!("answer {id} {} {outcome}", kind.name()));
        Answer { kind, id: id.to_owned(), status, wrong }
    }

    fn send(&mut self, kind: Kind, id: &str, is_new: bool) -> io::Result<(Head, Vec<u8>)> {
        if self.addresses.is_empty() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "no addresses"));
        }
        let address = self.addresses[self.random.below(self.addresses.len())];
        let limit = Duration::from_millis(kind.timeout_ms());
        let kept =
            self.open.remove(&address).filter(|(_, idle)| !is_new && idle.elapsed() < MAX_IDLE);
        let mut connection = match kept {
            Some((connection, _)) => connection,
            None => Connection::open(address, limit)?,
        };
        connection.output.set_read_timeout(Some(limit))?;
        self.record.line(&format!("sent {id} {} to {address}", kind.name()));
        let request = kind.request(id, &mut self.random);
        let (head, body) = connection.ask(&request)?;
        let closes = head.get("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        if !closes {
            self.open.insert(address, (connection, Instant::now()));
        }
        Ok((head, body))
    }
}
