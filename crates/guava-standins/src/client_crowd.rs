//! Clients that don't behave: each connection sends what it is told, as far as that is taken, and reads
//! nothing.

use socket2::SockRef;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds of writes.
const ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Rounds in a row in which nobody could write, after which a crowd waits no longer.
const IDLE_ROUNDS: u32 = 20;

/// Time in which what was sent has its effect, at least in part.
const SETTLE_TIME: Duration = Duration::from_millis(500);

struct CrowdClient {
    stream: TcpStream,
    sent: usize,
    is_open: bool,
}

impl CrowdClient {
    fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, sent: 0, is_open: true })
    }

    /// Writes on in a text that repeats until so many bytes are sent; returns whether any was taken.
    fn write_some(&mut self, text: &[u8], total: usize) -> bool {
        let before = self.sent;
        while self.is_open && self.sent < total {
            let place = self.sent % text.len();
            let end = text.len().min(place + total - self.sent);
            match self.stream.write(&text[place..end]) {
                Ok(count) if count > 0 => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                _ => self.is_open = false,
            }
        }
        self.sent > before
    }
}

/// Connections of one crowd; closed when it is dropped.
pub struct ClientCrowd {
    clients: Vec<CrowdClient>,
}

impl ClientCrowd {
    /// Opens so many connections, up to the first one that is not established in time.
    pub fn open(address: SocketAddr, count: usize) -> Self {
        Self { clients: (0..count).map_while(|_| CrowdClient::open(address)).collect() }
    }

    /// Sends a text so many times on each connection, until nothing more is taken and some time later.
    pub fn send(&mut self, text: &[u8], times: usize) {
        self.send_own(times, |_| text.to_vec());
    }

    /// The same with a text of each connection's own.
    pub fn send_own(&mut self, times: usize, text: impl Fn(usize) -> Vec<u8>) {
        let texts: Vec<Vec<u8>> = (0..self.clients.len()).map(text).collect();
        self.clients.iter_mut().for_each(|client| client.sent = 0);
        let mut idle_rounds = 0;
        while idle_rounds < IDLE_ROUNDS {
            let mut is_idle = true;
            let mut is_done = true;
            for (client, text) in self.clients.iter_mut().zip(&texts) {
                let total = text.len() * times;
                is_idle &= !client.write_some(text, total);
                is_done &= !client.is_open || client.sent >= total;
            }
            if is_done {
                break;
            }
            idle_rounds = if is_idle { idle_rounds + 1 } else { 0 };
            sleep(ROUND_PAUSE);
        }
        sleep(SETTLE_TIME);
    }

    /// Ends all connections with a reset.
    pub fn reset(self) {
        for client in &self.clients {
            // A connection that has ended already needs no reset.
            drop(SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)));
        }
    }
}
