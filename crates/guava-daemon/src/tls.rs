//! TLS for callers and operators, mutual TLS between daemons; keys are read anew when their files
//! change.

use crate::events;
use crate::settings::TlsFiles;
use arc_swap::ArcSwap;
use guava_log::log_event;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use snafu::Snafu;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::time::sleep;
use tonic::transport::{Certificate, ClientTlsConfig, Identity};

/// Name that the certificates of daemons carry.
const PEER_NAME: &str = "peer.guavatiller";
const RECHECK_MS: u64 = 1_000;

/// Why keys can't be used.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file can't be read or holds no PEM of the kind.
    #[snafu(display("{path}: {reason}"))]
    File {
        /// The file.
        path: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// Certificate and key don't fit together.
    #[snafu(display("certificate and key: {reason}"))]
    Unfit {
        /// Why.
        reason: Box<str>,
    },
}

fn file_error(path: &Path, reason: impl ToString) -> TlsError {
    TlsError::File { path: path.to_string_lossy().into(), reason: reason.to_string().into() }
}

fn unfit(reason: impl ToString) -> TlsError {
    TlsError::Unfit { reason: reason.to_string().into() }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let found = CertificateDer::pem_file_iter(path).map_err(|error| file_error(path, error))?;
    found.collect::<Result<_, _>>().map_err(|error| file_error(path, error))
}

fn server_config(files: &TlsFiles) -> Result<ServerConfig, TlsError> {
    let chain = certificates(&files.certificate)?;
    let key =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|error| file_error(&files.key, error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .map_err(unfit)?;
    let builder = match &files.authorities {
        None => builder.with_no_client_auth(),
        Some(path) => {
            let mut roots = RootCertStore::empty();
            for authority in certificates(path)? {
                roots.add(authority).map_err(unfit)?;
            }
            let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider)
                .build()
                .map_err(unfit)?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let mut config = builder.with_single_cert(chain, key).map_err(unfit)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(config)
}

fn changed_at(files: &TlsFiles) -> Option<SystemTime> {
    let paths = [Some(&files.certificate), Some(&files.key), files.authorities.as_ref()];
    let times = paths.into_iter().flatten().map(|path| path.metadata().ok()?.modified().ok());
    times.max().flatten()
}

/// A listener's keys, always the last usable ones.
#[derive(Clone)]
pub struct TlsKeeper {
    files: TlsFiles,
    config: Arc<ArcSwap<ServerConfig>>,
}

impl TlsKeeper {
    /// Reads the keys.
    pub fn open(files: &TlsFiles) -> Result<Self, TlsError> {
        let config = Arc::new(ArcSwap::from_pointee(server_config(files)?));
        Ok(Self { files: files.clone(), config })
    }

    /// The keys for the next connection.
    pub fn current(&self) -> Arc<ServerConfig> {
        self.config.load_full()
    }

    /// Reads the keys anew whenever their files change.
    pub async fn watch(self, on_change: impl Fn()) {
        let mut last = changed_at(&self.files);
        loop {
            sleep(Duration::from_millis(RECHECK_MS)).await;
            let current = changed_at(&self.files);
            if current == last {
                continue;
            }
            last = current;
            match server_config(&self.files) {
                Ok(config) => {
                    self.config.store(Arc::new(config));
                    on_change();
                    log_event!(
                        info,
                        events::KEYS_RELOADED,
                        file = self.files.certificate.display()
                    );
                }
                Err(error) => log_event!(error, events::KEYS_REFUSED, error = error),
            }
        }
    }
}

/// A daemon's side of connections to its peers.
#[derive(Clone, Debug)]
pub struct PeerTls {
    files: TlsFiles,
}

impl PeerTls {
    /// Uses these files.
    pub fn new(files: &TlsFiles) -> Self {
        Self { files: files.clone() }
    }

    /// The keys as they are on disk now; a file that can't be read gives a refused connection.
    pub fn client_config(&self) -> ClientTlsConfig {
        let read = |path: &Path| std::fs::read(path).unwrap_or_default();
        let authorities = self.files.authorities.as_deref().map(read).unwrap_or_default();
        ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(authorities))
            .identity(Identity::from_pem(read(&self.files.certificate), read(&self.files.key)))
            .domain_name(PEER_NAME)
    }
}
