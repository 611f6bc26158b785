//! TLS for callers and operators, mutual TLS between daemons, keys reloaded without a restart.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use bytes::Bytes;
use guava_standins::deployment::{DeploymentPlan, block_on, wait_until};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use support::deploy;
use tokio_rustls::TlsConnector;

const NAMES: [&str; 3] = ["callers.guavatiller", "peer.guavatiller", "operators.guavatiller"];

struct KeyFolder {
    path: PathBuf,
}

impl KeyFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("guavatiller-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        let folder = Self { path };
        folder.write_keys();
        folder
    }

    /// Writes a new authority, and a certificate signed by it.
    fn write_keys(&self) {
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(NAMES.map(String::from).to_vec()).unwrap();
        let certificate = params.signed_by(&key, &authority).unwrap();
        std::fs::write(self.file("authorities.pem"), authority.pem()).unwrap();
        std::fs::write(self.file("key.pem"), key.serialize_pem()).unwrap();
        std::fs::write(self.file("certificate.pem"), certificate.pem()).unwrap();
    }

    fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn settings(&self) -> String {
        let own = format!(
            "\"certificate\": \"{}\", \"key\": \"{}\"",
            self.file("certificate.pem").display(),
            self.file("key.pem").display()
        );
        let authorities = self.file("authorities.pem").display().to_string();
        format!(
            "\"tls\": {{ \"callers\": {{ {own} }}, \"operators\": {{ {own} }}, \
             \"peers\": {{ {own}, \"authorities\": \"{authorities}\" }} }}"
        )
    }
}

impl Drop for KeyFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.path));
    }
}

/// Asks for an address over TLS, trusting one authority and showing no certificate.
fn ask_over_tls(address: SocketAddr, name: &str, authorities: &Path) -> Result<u16, String> {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_file(authorities).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(config));
    let name = ServerName::try_from(name.to_owned()).unwrap();
    block_on(async move {
        let stream = tokio::net::TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        let stream = connector.connect(name, stream).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::spawn(connection);
        let request =
            http::Request::get("/v1/address").header("host", "x").body(Full::<Bytes>::default());
        let response = sender.send_request(request.unwrap()).await.map_err(|e| e.to_string())?;
        Ok(response.status().as_u16())
    })
    .unwrap()
}

#[test]
fn everything_runs_over_tls_and_keys_are_reloaded() {
    let keys = KeyFolder::new("tls");
    let plan = DeploymentPlan {
        settings: vec![keys.settings()],
        authorities: Some(keys.file("authorities.pem")),
        ..DeploymentPlan::default()
    };
    // Starting needs the operators' client over TLS and gossip over mutual TLS.
    let deployment = deploy(plan);
    let callers = deployment.daemons[0].callers;
    let old = keys.file("old-authorities.pem");
    std::fs::copy(keys.file("authorities.pem"), &old).unwrap();

    let by_tls = ask_over_tls(callers, NAMES[0], &old);
    let plain = guava_standins::deployment::ask::<serde_json::Value>(callers, "/v1/address");
    let no_certificate = ask_over_tls(deployment.daemons[0].peers, NAMES[1], &old);
    keys.write_keys();
    wait_until("the new keys are used", || {
        ask_over_tls(callers, NAMES[0], &keys.file("authorities.pem")) == Ok(200)
    });

    assert_eq!(by_tls, Ok(200));
    assert!(plain.is_err());
    assert!(no_certificate.is_err(), "{no_certificate:?}");
    wait_until("daemons hear each other with the new keys", || {
        deployment
            .operate_ok(1, &["weights", "--first-token", "2", "--recompute", "2", "--link", "2"])
            .is_ok_and(|shown| shown["change"][0]["missing"] == serde_json::json!([]))
    });
}
