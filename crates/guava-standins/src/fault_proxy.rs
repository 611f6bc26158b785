//! A TCP proxy that makes a link fail: cut, frozen, slow, or deaf in one direction.
//!
//! Rules hold for one source address or for all, so that one daemon can be cut from a server that
//! the others still reach. Changing the rule also changes what happens on open connections.

use crate::serve::Shared;
use guava_types::FastMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const COPY_BYTES: usize = 16 << 10;
const RECHECK_MS: u64 = 20;
const CLOSE_CHECK_MS: u64 = 2;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Passes everything on.
    #[default]
    None,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Closes open connections; nobody listens for new ones. For all sources only.
    Reset,
    /// Open connections work; nobody listens for new ones. For all sources only.
    Refuse,
    /// Open connections are silent, and new ones are never answered. For all sources only.
    Unanswered,
    /// Accepts, and passes nothing on in either direction.
    Freeze,
    /// Open connections stay silent for good; new ones work.
    Forget,
    /// Passes on requests and drops the answers: the effect happens, its answer is lost.
    DropAnswers,
    /// Drops what goes to the server.
    DropRequests,
    /// Delays each piece by so many milliseconds.
    Delay(u64),
}

#[derive(Default)]
struct LinkRules {
    all: LinkFault,
    by_source: FastMap<IpAddr, LinkFault>,
    epoch: u64,
    /// Whether nobody listens at the target; nobody listens here then either.
    is_target_gone: bool,
    /// Whether new connections are refused or ignored by now.
    is_closed: bool,
    dropped: u64,
    passed: u64,
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenMode {
    Accept,
    Refuse,
    Ignore,
}

impl LinkRules {
    fn listen_mode(&self) -> ListenMode {
        match self.all {
            LinkFault::None if self.is_target_gone => ListenMode::Refuse,
            LinkFault::Reset | LinkFault::Refuse => ListenMode::Refuse,
            LinkFault::Unanswered => ListenMode::Ignore,
            _ => ListenMode::Accept,
        }
    }

    fn fault(&self, source: IpAddr) -> LinkFault {
        let fault = self.by_source.get(&source).copied().unwrap_or(self.all);
        // Whoever sees its connection reset finds that nobody listens.
        if fault == LinkFault::Reset && !self.is_closed { LinkFault::None } else { fault }
    }
}

/// A running proxy; it ends with its process.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    rules: Shared<LinkRules>,
}

impl FaultProxy {
    /// Starts a proxy before a server, in a thread of its own.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let rules = Shared::new(LinkRules::default());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let own_rules = rules.clone();
        std::thread::spawn(move || {
            runtime.block_on(accept_all(listener, target, own_rules));
        });
        Ok(Self { address, rules })
    }

    /// Sets the rule for all sources that have none of their own.
    pub fn set(&self, fault: LinkFault) {
        let mut rules = self.rules.lock();
        rules.all = fault;
        rules.epoch += 1;
    }

    /// Sets the rule for one source address.
    pub fn set_for(&self, source: IpAddr, fault: LinkFault) {
        let mut rules = self.rules.lock();
        rules.by_source.insert(source, fault);
        rules.epoch += 1;
    }

    /// Bytes dropped by a rule so far.
    pub fn dropped_bytes(&self) -> u64 {
        self.rules.lock().dropped
    }

    /// Bytes passed on so far, both ways, without the headers of IP and TCP.
    pub fn passed_bytes(&self) -> u64 {
        self.rules.lock().passed
    }

    /// Passes everything on again, for all.
    pub fn heal(&self) {
        let mut rules = self.rules.lock();
        rules.all = LinkFault::None;
        rules.by_source.clear();
        rules.epoch += 1;
    }
}

async fn accept_all(listener: std::net::TcpListener, target: SocketAddr, rules: Shared<LinkRules>) {
    let Ok(address) = listener.local_addr() else { return };
    let Ok(mut listener) = TcpListener::from_std(listener) else { return };
    loop {
        let mode = rules.lock().listen_mode();
        if mode != ListenMode::Accept {
            drop(listener);
            rules.lock().is_closed = true;
            await_accept_mode(address, target, mode, &rules).await;
            rules.lock().is_closed = false;
            listener = match TcpListener::bind(address).await {
                Ok(listener) => listener,
                Err(error) => return eprintln!("a proxy can't listen again: {error}"),
            };
        }
        let accepting = timeout(Duration::from_millis(RECHECK_MS / 4), listener.accept());
        let Ok(Ok((client, source))) = accepting.await else { continue };
        if rules.lock().fault(source.ip()) == LinkFault::Cut {
            drop(client);
            continue;
        }
        tokio::spawn(join(client, source.ip(), target, rules.clone()));
    }
}

/// Waits until connections are accepted again. To ignore them, a queue of pending connections is
/// kept full: the system drops what exceeds it.
async fn await_accept_mode(
    address: SocketAddr,
    target: SocketAddr,
    mode: ListenMode,
    rules: &Shared<LinkRules>,
) {
    let full = if mode == ListenMode::Ignore { fill_queue(address).await } else { None };
    if mode == ListenMode::Ignore && full.is_none() {
        eprintln!("a proxy can't ignore connections, and refuses them");
    }
    while rules.lock().listen_mode() != ListenMode::Accept {
        sleep(Duration::from_millis(RECHECK_MS)).await;
        let is_target_gone = rules.lock().is_target_gone;
        if is_target_gone && TcpStream::connect(target).await.is_ok() {
            rules.lock().is_target_gone = false;
        }
    }
}

async fn fill_queue(address: SocketAddr) -> Option<(TcpListener, TcpStream)> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    let listener = socket.listen(0).ok()?;
    let pending = TcpStream::connect(address).await.ok()?;
    Some((listener, pending))
}

async fn join(client: TcpStream, source: IpAddr, target: SocketAddr, rules: Shared<LinkRules>) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let opened = rules.lock().epoch;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let link = Link { source, target, rules, opened };
    let up = pump(client_read, server_write, link.clone(), Direction::Request);
    let down = pump(server_read, client_write, link, Direction::Answer);
    tokio::spawn(up);
    tokio::spawn(down);
}

#[derive(Clone)]
struct Link {
    source: IpAddr,
    target: SocketAddr,
    rules: Shared<LinkRules>,
    opened: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Link {
    fn fault(&self) -> LinkFault {
        let rules = self.rules.lock();
        let fault = rules.fault(self.source);
        // A forgotten connection stays silent for good, also once the rule has changed; so only
        // those opened under the rule in force are healthy.
        if fault == LinkFault::Forget && self.opened == rules.epoch {
            return LinkFault::None;
        }
        fault
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: Link, direction: Direction) {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = cut(&link) => return,
        };
        let Ok(length @ 1..) = read else {
            if direction == Direction::Answer {
                await_closed_like_target(&link).await;
            }
            return;
        };
        let mut delayed = false;
        loop {
            match (link.fault(), direction) {
                (LinkFault::Cut | LinkFault::Reset, _) => return,
                (LinkFault::Freeze | LinkFault::Unanswered | LinkFault::Forget, _) => {
                    sleep(Duration::from_millis(RECHECK_MS)).await;
                }
                (LinkFault::DropAnswers, Direction::Answer)
                | (LinkFault::DropRequests, Direction::Request) => {
                    link.rules.lock().dropped += length as u64;
                    break;
                }
                (LinkFault::Delay(millis), _) if !delayed => {
                    delayed = true;
                    sleep(Duration::from_millis(millis)).await;
                }
                _ => {
                    let piece = buffer.get(..length).unwrap_or_default();
                    if to.write_all(piece).await.is_err() {
                        return;
                    }
                    link.rules.lock().passed += length as u64;
                    break;
                }
            }
        }
    }
}

/// Waits until nobody listens here, if nobody listens at the target: whoever sees its connection
/// broken finds the same as without a proxy.
async fn await_closed_like_target(link: &Link) {
    if TcpStream::connect(link.target).await.is_ok() {
        return;
    }
    link.rules.lock().is_target_gone = true;
    while link.rules.lock().is_target_gone && !link.rules.lock().is_closed {
        sleep(Duration::from_millis(CLOSE_CHECK_MS)).await;
    }
}

async fn cut(link: &Link) {
    while !matches!(link.fault(), LinkFault::Cut | LinkFault::Reset) {
        sleep(Duration::from_millis(RECHECK_MS)).await;
    }
}
