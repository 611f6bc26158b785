//! Requests on plain connections, so that tests decide about every byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer as its bytes say.
#[derive(Debug)]
pub struct PlainAnswer {
    pub status: u16,
    pub body: String,
    head: String,
}

impl PlainAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        let mut lines = self.head.lines();
        lines
            .find(|line| line.to_ascii_lowercase().starts_with(&prefix))
            .map(|line| &line[prefix.len()..])
    }
}

/// A request with a key, a body and two seconds of time.
pub fn request_to(method: &str, path: &str, id: &str, key: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: club.example\r\nX-Request-Id: {id}\r\n\
         X-Timeout-Ms: 2000\r\nX-Model: m0\r\nX-Token-Usage: 100,5\r\n\
         X-Prompt-Prefix: aa:80,bb:20\r\nAuthorization: Token {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and reads its answer; nothing if there is none.
pub fn send(address: SocketAddr, request: &str) -> Option<PlainAnswer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(answer) = parse(&bytes) {
            return Some(answer);
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// GETs a path.
pub fn ask(address: SocketAddr, path: &str) -> Option<PlainAnswer> {
    send(address, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"))
}

/// The answer, once it is whole.
fn parse(bytes: &[u8]) -> Option<PlainAnswer> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = match length {
        Some(length) => {
            let length: usize = length.trim().parse().ok()?;
            (rest.len() >= length).then(|| rest[..length].to_owned())?
        }
        None => chunks(rest)?,
    };
    Some(PlainAnswer { status, body, head: head.to_owned() })
}

fn chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}
