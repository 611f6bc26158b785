//! The platform's store: logs with one partition each, keyed topics, conditional appends.

use crate::http::{Connection, answer, listen, read_body, read_head};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];
const PAGE_BYTES: usize = 1 << 20;
/// How long the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    /// Starts serving; returns the address.
    pub fn start(&self) -> SocketAddr {
        let store = self.clone();
        listen(move |stream| {
            let Ok(mut connection) = Connection::new(stream) else { return };
            while let Ok(Some(head)) = read_head(&mut connection.input) {
                let Ok(body) = read_body(&head, &mut connection.input) else { return };
                std::thread::sleep(ANSWER_TIME);
                let answer = store.call(head.request_line().1, &body);
                if connection.output.write_all(&answer).is_err() {
                    return;
                }
            }
        })
    }

    /// Writes a record of a keyed topic, as the operator and servers do; no value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let (topics, changed) = &*self.shared;
        topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }

    fn call(&self, target: &str, body: &[u8]) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|field| field.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default().to_owned();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/api/log-append" => self.append(topic, number("asOf"), body),
            "/api/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.read(&topic, number("from").unwrap_or(0) as usize, wait)
            }
            "/api/log-newest" => self.newest(&topic),
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: String, only_at: Option<u64>, mut body: &[u8]) -> Vec<u8> {
        let (topics, changed) = &*self.shared;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let offset = records.len() as u64;
        if only_at.is_some_and(|only_at| only_at != offset) {
            let body = format!("{{\"end\":{offset}}}");
            return answer("412 Precondition Failed", &JSON, body.as_bytes());
        }
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
            records.push(rest[..length].to_vec());
            body = &rest[length..];
        }
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        changed.notify_all();
        answer("200 OK", &JSON, body.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if page.len() + record.len() > PAGE_BYTES {
                        break;
                    }
                    page.extend((record.len() as u32).to_be_bytes());
                    page.extend(record);
                }
                return answer("200 OK", &[], &page);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.shared.0.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at((*length as usize).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (base64(value), offset)),
            };
        }
        let item = |(key, (value, offset)): (&String, &(String, usize))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let items: Vec<String> = newest.iter().map(item).collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}");
        answer("200 OK", &JSON, body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| (word << 8) | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
