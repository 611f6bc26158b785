//! Connections to the other daemons, and one function for each call.
//!
//! Every call has a deadline. A channel on which a call ran out of time or broke is dropped and
//! the next call opens a new one: a connection that a middlebox has forgotten never comes back.

use crate::lock::locked;
use crate::tls::PeerTls;
use guava_schema::peers::peers_client::PeersClient;
use guava_schema::peers::{
    AdoptRequest, AttachRequest, CallReply, FetchReply, FetchRequest, Gossip, HandOverReply,
    HandOverRequest, LookupReply, LookupRequest, NoteRequest, PinnedRequest,
};
use guava_types::FastMap;
use snafu::Snafu;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

const CONNECT_MS: u64 = 1_000;
const KEEPALIVE_MS: u64 = 1_000;
const KEEPALIVE_TIMEOUT_MS: u64 = 2_000;
/// Largest message between daemons, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why a peer gave no answer.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum PeerError {
    /// No connection: nothing was sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// The peer.
        address: SocketAddr,
    },
    /// No answer in time or the connection broke: it may have taken effect.
    #[snafu(display("no answer from {address}"))]
    Lost {
        /// The peer.
        address: SocketAddr,
    },
}

impl PeerError {
    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}

/// Channels by thread's use; each duty that calls peers has its own runtime, so channels are kept
/// apart by it.
pub struct PeerLinks {
    source: IpAddr,
    tls: Option<PeerTls>,
    channels: Mutex<FastMap<(std::thread::ThreadId, SocketAddr), Channel>>,
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($request:ty) -> $reply:ty;)*) => {
        $(
            $(#[$doc])*
            pub async fn $name(
                &self,
                address: SocketAddr,
                request: $request,
                wait_ms: u64,
            ) -> Result<$reply, PeerError> {
                let channel = self.channel(address).await?;
                let mut client = PeersClient::new(channel)
                    .max_decoding_message_size(MAX_MESSAGE_BYTES)
                    .max_encoding_message_size(MAX_MESSAGE_BYTES);
                let answer =
                    timeout(Duration::from_millis(wait_ms), client.$name(request)).await;
                self.settle(address, answer.map(|reply| reply.map(tonic::Response::into_inner)))
            }
        )*
    };
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(source: IpAddr, tls: Option<PeerTls>) -> Self {
        Self { source, tls, channels: Mutex::default() }
    }

    async fn channel(&self, address: SocketAddr) -> Result<Channel, PeerError> {
        let key = (std::thread::current().id(), address);
        if let Some(channel) = locked(&self.channels).get(&key) {
            return Ok(channel.clone());
        }
        let failed = || PeerError::Connect { address };
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
            .map_err(|_| failed())?
            .local_address(Some(self.source))
            .tcp_nodelay(true)
            .connect_timeout(Duration::from_millis(CONNECT_MS))
            .http2_keep_alive_interval(Duration::from_millis(KEEPALIVE_MS))
            .keep_alive_timeout(Duration::from_millis(KEEPALIVE_TIMEOUT_MS));
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.client_config()).map_err(|_| failed())?;
        }
        let connecting = timeout(Duration::from_millis(CONNECT_MS), endpoint.connect()).await;
        let channel = connecting.map_err(|_| failed())?.map_err(|_| failed())?;
        locked(&self.channels).insert(key, channel.clone());
        Ok(channel)
    }

    fn settle<T>(
        &self,
        address: SocketAddr,
        answer: Result<Result<T, Status>, tokio::time::error::Elapsed>,
    ) -> Result<T, PeerError> {
        let status = match answer {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(status)) => Some(status),
            Err(_) => None,
        };
        let is_broken = status.is_none_or(|status| {
            matches!(status.code(), Code::Unavailable | Code::Unknown | Code::Cancelled)
        });
        if is_broken {
            let key = (std::thread::current().id(), address);
            locked(&self.channels).remove(&key);
        }
        Err(PeerError::Lost { address })
    }

    /// Drops all channels, so that new keys are used.
    pub fn reconnect(&self) {
        locked(&self.channels).clear();
    }

    calls! {
        /// Gossip.
        exchange(Gossip) -> Gossip;
        /// The whole state.
        fetch_state(FetchRequest) -> FetchReply;
        /// The outcome of a call that the peer holds.
        attach(AttachRequest) -> CallReply;
        /// A call whose pinned key the peer minted.
        run_pinned(PinnedRequest) -> CallReply;
        /// Hands kept outcomes over.
        hand_over(HandOverRequest) -> HandOverReply;
        /// Where a prefix is cached.
        lookup(LookupRequest) -> LookupReply;
        /// An engine has computed a prompt.
        note(NoteRequest) -> guava_schema::peers::NoteReply;
        /// Hands index entries over.
        adopt(AdoptRequest) -> guava_schema::peers::AdoptReply;
    }
}
