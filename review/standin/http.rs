//! HTTP/1.1 as far as the stand-ins need it: heads, bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Head of a request or an answer; `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first header with this name; the name must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut fields = self.start.split(' ');
        (fields.next().unwrap_or_default(), fields.next().unwrap_or_default())
    }

    /// Status of an answer; 0 if the line is malformed.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return if head.start.is_empty() { Ok(None) } else { Err(invalid("head cut off")) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(invalid("chunks cut off"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("bad chunk size"))?;
    let mut chunk = vec![0; size + 2];
    input.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

pub fn is_chunked(head: &Head) -> bool {
    head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

/// Reads a whole body; one without a length and without chunks is empty.
pub fn read_body(head: &Head, input: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(head) {
        loop {
            let chunk = read_chunk(input)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    input.read_exact(&mut body)?;
    Ok(body)
}

/// Encodes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Encodes a chunk; an empty one ends the body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend(data);
    bytes.extend(b"\r\n");
    bytes
}

/// Accepts connections on a thread of its own and serves each on another one.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

/// A connection with buffered reads.
pub struct Connection {
    pub input: BufReader<TcpStream>,
    pub output: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let output = stream.try_clone()?;
        Ok(Self { input: BufReader::new(stream), output })
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Self::new(stream)
    }

    /// Sends a request and reads the whole answer.
    pub fn ask(&mut self, request: &[u8]) -> io::Result<(Head, Vec<u8>)> {
        self.output.write_all(request)?;
        let head =
            read_head(&mut self.input)?.ok_or_else(|| invalid("closed without an answer"))?;
        let body = read_body(&head, &mut self.input)?;
        Ok((head, body))
    }
}

/// The text of a field of a flat JSON object, without quotes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return quoted.split('"').next().map(str::to_owned);
    }
    Some(rest.split([',', '}', ']']).next()?.trim().to_owned())
}

pub fn json_number(text: &str, name: &str) -> Option<u64> {
    json_field(text, name)?.parse().ok()
}

/// Hash of a body, which a seal names.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A small generator of pseudo-random numbers (splitmix64).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number in 0..1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }
}
