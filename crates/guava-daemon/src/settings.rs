//! A daemon's settings: JSON with comments, every error reported at once.

use crate::settings_check::{FieldReader, SettingsErrors};
use guava_types::{DataCentre, MemberName};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Certificate and key of one listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
    /// PEM file with the authorities that the other side must be signed by.
    pub authorities: Option<PathBuf>,
}

/// Where one kind of client reaches the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address told to others.
    pub advertise: SocketAddr,
    /// TLS, unless it is switched off as a whole.
    pub tls: Option<TlsFiles>,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Its name, unique among the daemons that run.
    pub name: MemberName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The address that it connects from.
    pub source_ip: IpAddr,
    /// For callers.
    pub callers: ListenSettings,
    /// For the other daemons.
    pub peers: ListenSettings,
    /// For operators.
    pub operators: ListenSettings,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// BLAKE3 hash of the operators' token, in hexadecimal.
    pub operator_token_hash: Box<str>,
    /// File with the secret that all daemons share, for event ids.
    pub secret_file: PathBuf,
    /// The platform.
    pub platform: PlatformSettings,
    /// How long callers may keep an address answer, in milliseconds.
    pub address_keep_ms: u64,
    /// Longest time that a graceful shutdown waits for running requests, in milliseconds.
    pub drain_limit_ms: u64,
    /// Records after which a snapshot is due.
    pub snapshot_every_records: u64,
    /// Time after which a snapshot is due, in milliseconds; well inside the log's retention.
    pub snapshot_every_ms: u64,
    /// Most upstreams that this daemon watches and routes to.
    pub watch_limit: u64,
    /// Memory that clients may hold, in megabytes.
    pub client_memory_mb: u64,
    /// Connections of clients that may be open.
    pub client_connections: u64,
    /// Least severe log level: error, warn, info or debug.
    pub log_level: Box<str>,
    /// Where metrics are sent, as StatsD over UDP; nowhere if absent.
    pub metrics: Option<SocketAddr>,
}

fn tls_files(reader: &mut FieldReader, section: &str, needs_authorities: bool) -> Option<TlsFiles> {
    if reader.flag("tls.off", false) {
        return None;
    }
    let path = |reader: &mut FieldReader, name: &str| {
        PathBuf::from(&*reader.text(&format!("tls.{section}.{name}"), "a PEM file's path"))
    };
    Some(TlsFiles {
        certificate: path(reader, "certificate"),
        key: path(reader, "key"),
        authorities: needs_authorities.then(|| path(reader, "authorities")),
    })
}

fn listener(reader: &mut FieldReader, section: &str) -> ListenSettings {
    let address = "an IP address and port, as in \"10.0.0.1:7000\"";
    let listen = reader.parsed(&format!("{section}.listen"), address, unset_address());
    let advertise = reader.parsed_or(&format!("{section}.advertise"), address, listen);
    let tls = tls_files(reader, section, section == "peers");
    ListenSettings { listen, advertise, tls }
}

fn unset_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

impl DaemonSettings {
    /// Reads settings from their text.
    pub fn parse(text: &str) -> Result<Self, SettingsErrors> {
        const ADDRESS: &str = "an IP address and port, as in \"10.0.0.1:7000\"";
        const NAME: &str = "1 to 64 of a-z 0-9 '.' '_' '-'";
        // Some editors begin a file with a byte order mark, which is no part of its text.
        let mut reader = FieldReader::open(text.trim_start_matches('\u{feff}'))?;
        let read = &mut reader;
        let unset = unset_address();
        let settings = Self {
            name: read.parsed("name", NAME, MemberName::default()),
            data_centre: read.parsed("data_centre", NAME, DataCentre::default()),
            source_ip: read.parsed("source_ip", "an IP address", unset.ip()),
            callers: listener(read, "callers"),
            peers: listener(read, "peers"),
            operators: listener(read, "operators"),
            seeds: read.address_list("seeds", ADDRESS),
            operator_token_hash: read.hash("operator_token_hash"),
            secret_file: PathBuf::from(&*read.text("secret_file", "a file's path")),
            platform: PlatformSettings {
                log: read.parsed("platform.log", ADDRESS, unset),
                vm_list: read.parsed("platform.vm_list", ADDRESS, unset),
                weights: read.parsed("platform.weights", ADDRESS, unset),
            },
            address_keep_ms: read.number_or("address_keep_ms", 100, 600_000, 10_000),
            drain_limit_ms: read.number_or("drain_limit_ms", 1_000, 86_400_000, 600_000),
            snapshot_every_records: read.number_or("snapshot_every_records", 10, 1_000_000, 2_000),
            snapshot_every_ms: read.number_or("snapshot_every_ms", 1_000, 86_400_000, 600_000),
            watch_limit: read.number_or("watch_limit", 1, 10_000, 48),
            client_memory_mb: read.number_or("client_memory_mb", 8, 1_048_576, 96),
            client_connections: read.number_or("client_connections", 1, 1_000_000, 4_096),
            log_level: read.choice_or("log_level", &["error", "warn", "info", "debug"], "info"),
            metrics: read.optional("metrics", ADDRESS),
        };
        reader.finish()?;
        Ok(settings)
    }
}
