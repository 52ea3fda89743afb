//! Mutual TLS between daemons; a daemon's certificate names its VM and zone.

use std::sync::Arc;

use ibishill_core::{id, secret};
use rustls::pki_types::{self, pem::PemObject};

use crate::error::LinkError;
use crate::frame;

const PROTOCOL: &[u8] = b"ibishill/1";

/// Certificates and key of a daemon, as PEM.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Root certificates that sign daemons' certificates.
    pub authority: String,
    /// Certificate chain of this daemon, its own certificate first.
    pub certificate: String,
    /// Private key of this daemon.
    pub private_key: secret::Secret,
}

/// Certificate authority for daemons' certificates.
pub struct Authority {
    certificate: rcgen::Certificate,
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
}

/// DNS name in the certificate of a daemon.
pub fn subject(vm: &id::VmId, zone: &id::ZoneId) -> String {
    format!("{vm}.{zone}.ibishill")
}

/// Checks that the first certificate of `chain` names the VM and zone of `caller`.
///
/// # Errors
///
/// Fails if the chain is empty, or the certificate is invalid or names another daemon.
pub fn check_subject(
    chain: &[pki_types::CertificateDer<'_>],
    caller: &frame::Caller,
) -> Result<(), LinkError> {
    let leaf = chain.first().ok_or_else(|| tls_error("no certificate"))?;
    let certificate = webpki::EndEntityCert::try_from(leaf).map_err(tls_error)?;
    // A dot in the VM's name would make the boundary between VM and zone ambiguous.
    if caller.vm.as_str().contains('.') {
        return Err(tls_error(format!("VM {} has a dot in its name", caller.vm)));
    }
    let name = subject(&caller.vm, &caller.zone);
    let server_name = pki_types::ServerName::try_from(name.as_str()).map_err(tls_error)?;
    certificate.verify_is_valid_for_subject_name(&server_name).map_err(tls_error)?;
    // The verification above ignores case and accepts wildcards; the name must match exactly.
    if certificate.valid_dns_names().any(|found| found == name) {
        return Ok(());
    }
    Err(tls_error(format!("the certificate does not name {name}")))
}

/// Checks that an identity is valid and belongs to `caller`.
///
/// # Errors
///
/// Fails if it is invalid, names another daemon or is signed by another authority.
pub fn check(identity: &Identity, caller: &frame::Caller) -> Result<(), LinkError> {
    let credentials = parse(identity)?;
    check_subject(&credentials.chain, caller)?;
    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
        credentials.roots,
        credentials.provider,
    );
    let verifier = verifier.build().map_err(tls_error)?;
    let (leaf, intermediates) =
        credentials.chain.split_first().ok_or_else(|| tls_error("no certificate"))?;
    let now = pki_types::UnixTime::now();
    verifier.verify_client_cert(leaf, intermediates, now).map(|_verified| ()).map_err(tls_error)
}

fn tls_error<E>(error: E) -> LinkError
where
    E: std::fmt::Display,
{
    LinkError::Tls { detail: error.to_string() }
}

impl Authority {
    /// Generates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails if the key or certificate can't be generated.
    pub fn generate() -> Result<Self, LinkError> {
        let key = rcgen::KeyPair::generate().map_err(tls_error)?;
        let mut params =
            rcgen::CertificateParams::new(vec!["ibishill-authority".into()]).map_err(tls_error)?;
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).map_err(tls_error)?;
        Ok(Self { certificate, issuer: rcgen::Issuer::new(params, key) })
    }

    /// Returns the authority's own certificate as PEM.
    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    /// Generates a key for the daemon on `vm` in `zone` and signs its certificate.
    ///
    /// # Errors
    ///
    /// Fails if the key or certificate can't be generated.
    pub fn sign(&self, vm: &id::VmId, zone: &id::ZoneId) -> Result<Identity, LinkError> {
        let key = rcgen::KeyPair::generate().map_err(tls_error)?;
        let params = rcgen::CertificateParams::new(vec![subject(vm, zone)]).map_err(tls_error)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(tls_error)?;
        Ok(Identity {
            authority: self.pem(),
            certificate: certificate.pem(),
            private_key: secret::Secret::new(key.serialize_pem()),
        })
    }
}

struct Credentials {
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<pki_types::CertificateDer<'static>>,
    key: pki_types::PrivateKeyDer<'static>,
    provider: Arc<rustls::crypto::CryptoProvider>,
}

fn parse(identity: &Identity) -> Result<Credentials, LinkError> {
    let mut roots = rustls::RootCertStore::empty();
    for root in pki_types::CertificateDer::pem_slice_iter(identity.authority.as_bytes()) {
        roots.add(root.map_err(tls_error)?).map_err(tls_error)?;
    }
    let chain = pki_types::CertificateDer::pem_slice_iter(identity.certificate.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(tls_error)?;
    let key = pki_types::PrivateKeyDer::from_pem_slice(identity.private_key.expose().as_bytes())
        .map_err(tls_error)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    Ok(Credentials { roots: Arc::new(roots), chain, key, provider })
}

/// Builds the QUIC settings of the accepting side.
///
/// # Errors
///
/// Fails if a certificate or key is invalid.
pub fn server_config(identity: &Identity) -> Result<quinn::ServerConfig, LinkError> {
    let credentials = parse(identity)?;
    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
        credentials.roots,
        Arc::clone(&credentials.provider),
    );
    let mut config = rustls::ServerConfig::builder_with_provider(credentials.provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier.build().map_err(tls_error)?)
        .with_single_cert(credentials.chain, credentials.key)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
}

/// Builds the QUIC settings of the calling side.
///
/// # Errors
///
/// Fails if a certificate or key is invalid.
pub fn client_config(identity: &Identity) -> Result<quinn::ClientConfig, LinkError> {
    let credentials = parse(identity)?;
    let mut config = rustls::ClientConfig::builder_with_provider(credentials.provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(credentials.roots)
        .with_client_auth_cert(credentials.chain, credentials.key)
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ClientConfig::new(Arc::new(crypto)))
}
