//! A store of kept KV cache. It tells its changes and the servers' clock, and holds what servers save.

use crate::http::{Connection, answer, listen, read_body, read_head};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

#[derive(Default)]
struct Contents {
    /// Tokens of each whole part, by salt and id.
    held: HashMap<(String, String), u64>,
    events: Vec<String>,
}

/// A running store.
#[derive(Clone)]
pub struct KvStore {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Contents>, Condvar)>,
    epoch: u64,
}

fn clock_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl KvStore {
    pub fn start(epoch: u64) -> Self {
        let address = ([127, 0, 0, 1], 0).into();
        let mut store = Self { address, shared: Arc::default(), epoch };
        let serving = store.clone();
        store.address = listen(move |stream| {
            let Ok(mut connection) = Connection::new(stream) else { return };
            while let Ok(Some(head)) = read_head(&mut connection.input) {
                let Ok(body) = read_body(&head, &mut connection.input) else { return };
                let wait = head.get("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let answer = serving.call(head.request_line().1, &body, wait);
                if connection.output.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Saves a part, which is whole at once.
    pub fn save(&self, salt: &str, id: &str, tokens: u64, model: &str) {
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        if contents.held.insert((salt.to_owned(), id.to_owned()), tokens).is_none() {
            let number = contents.events.len() + 1;
            let event = format!("[{number},\"+\",\"{salt}\",\"{id}\",{tokens},\"{model}\"]");
            contents.events.push(event);
            changed.notify_all();
        }
    }

    fn call(&self, target: &str, body: &[u8], wait_ms: u64) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let since = query.split('&').find_map(|field| field.strip_prefix("since="));
        let since = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        let body = match path {
            "/api/kv-events" => self.events(since, Duration::from_millis(wait_ms.min(1_000))),
            "/api/kv-list" => self.list(),
            "/api/kv-free" => self.free(&String::from_utf8_lossy(body)),
            _ => return answer("404 Not Found", &[], b""),
        };
        answer("200 OK", &JSON, body.as_bytes())
    }

    fn events(&self, since: usize, wait: Duration) -> String {
        let (contents, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut contents = contents.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if contents.events.len() > since || left.is_zero() {
                let events: Vec<&str> =
                    contents.events.iter().skip(since).map(String::as_str).collect();
                return format!(
                    "{{\"epoch\":{},\"nextToken\":{},\"lost\":false,\"events\":[{}],\"clock_ms\":{}}}",
                    self.epoch,
                    contents.events.len(),
                    events.join(","),
                    clock_ms()
                );
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    fn list(&self) -> String {
        let contents = self.shared.0.lock().unwrap();
        let part = |((salt, id), tokens): (&(String, String), &u64)| {
            format!("[\"{salt}\",\"{id}\",{tokens},\"m0\"]")
        };
        let held: Vec<String> = contents.held.iter().map(part).collect();
        let next = contents.events.len();
        format!(
            "{{\"epoch\":{},\"nextToken\":{next},\"held\":[{}],\"partial\":[]}}",
            self.epoch,
            held.join(",")
        )
    }

    fn free(&self, order: &str) -> String {
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        let held: Vec<(String, String)> = contents.held.keys().cloned().collect();
        for (salt, id) in held {
            if order.contains(&format!("[\"{salt}\",\"{id}\"]")) {
                contents.held.remove(&(salt.clone(), id.clone()));
                let number = contents.events.len() + 1;
                contents.events.push(format!("[{number},\"-\",\"{salt}\",\"{id}\",0,\"m0\"]"));
            }
        }
        changed.notify_all();
        "{}".to_owned()
    }
}
