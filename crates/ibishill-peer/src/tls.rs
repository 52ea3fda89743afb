//! Mutual TLS of the link: a certificate names its VM and zone.

use std::sync::Arc;

use ibishill_core::{id, secret};
use rustls::pki_types::{self, pem::PemObject};

use crate::error::LinkError;
use crate::frame;

const PROTOCOL: &[u8] = b"ibishill/1";

/// PEM texts of a daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The certificate authority of the daemons.
    pub authority: String,
    /// This daemon's certificate.
    pub certificate: String,
    /// This daemon's private key.
    pub private_key: secret::Secret,
}

/// A certificate authority that signs daemons' certificates.
pub struct Authority {
    certificate: rcgen::Certificate,
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
}

/// The name in a daemon's certificate.
pub fn subject(vm: &id::VmId, zone: &id::ZoneId) -> String {
    format!("{vm}.{zone}.ibishill")
}

/// Checks that the first certificate of `chain` names the VM and zone of `caller`.
///
/// # Errors
///
/// Fails if it names another daemon or can't be read.
pub fn check_subject(
    chain: &[pki_types::CertificateDer<'_>],
    caller: &frame::Caller,
) -> Result<(), LinkError> {
    let first = chain.first().ok_or_else(|| tls("no certificate"))?;
    let certificate = webpki::EndEntityCert::try_from(first).map_err(tls)?;
    // Else the name would not tell where the VM ends and the zone begins.
    if caller.vm.as_str().contains('.') {
        return Err(tls(format!("VM {} has a dot in its name", caller.vm)));
    }
    let name = subject(&caller.vm, &caller.zone);
    let known = pki_types::ServerName::try_from(name.as_str()).map_err(tls)?;
    certificate.verify_is_valid_for_subject_name(&known).map_err(tls)?;
    // The comparison above ignores case and takes wildcards; names of VMs do neither.
    if certificate.valid_dns_names().any(|found| found == name) {
        return Ok(());
    }
    Err(tls(format!("the certificate does not name {name}")))
}

/// Checks that an identity can be used and is the one of `caller`.
///
/// # Errors
///
/// Fails if it can't be used, names another daemon or is signed by another authority.
pub fn check(identity: &Identity, caller: &frame::Caller) -> Result<(), LinkError> {
    let parts = parts(identity)?;
    check_subject(&parts.chain, caller)?;
    let verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(parts.roots, parts.provider);
    let verifier = verifier.build().map_err(tls)?;
    let (first, rest) = parts.chain.split_first().ok_or_else(|| tls("no certificate"))?;
    let now = pki_types::UnixTime::now();
    verifier.verify_client_cert(first, rest, now).map(|_verified| ()).map_err(tls)
}

fn tls<E>(error: E) -> LinkError
where
    E: std::fmt::Display,
{
    LinkError::Tls { detail: error.to_string() }
}

impl Authority {
    /// Makes an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails if no key can be made.
    pub fn generate() -> Result<Self, LinkError> {
        let key = rcgen::KeyPair::generate().map_err(tls)?;
        let mut params =
            rcgen::CertificateParams::new(vec!["ibishill-authority".into()]).map_err(tls)?;
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).map_err(tls)?;
        Ok(Self { certificate, issuer: rcgen::Issuer::new(params, key) })
    }

    /// The authority's own certificate, as PEM.
    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    /// Signs a certificate for the daemon on `vm` in `zone`.
    ///
    /// # Errors
    ///
    /// Fails if no key can be made.
    pub fn sign(&self, vm: &id::VmId, zone: &id::ZoneId) -> Result<Identity, LinkError> {
        let key = rcgen::KeyPair::generate().map_err(tls)?;
        let params = rcgen::CertificateParams::new(vec![subject(vm, zone)]).map_err(tls)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(tls)?;
        Ok(Identity {
            authority: self.pem(),
            certificate: certificate.pem(),
            private_key: secret::Secret::new(key.serialize_pem()),
        })
    }
}

struct Parts {
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<pki_types::CertificateDer<'static>>,
    key: pki_types::PrivateKeyDer<'static>,
    provider: Arc<rustls::crypto::CryptoProvider>,
}

fn parts(identity: &Identity) -> Result<Parts, LinkError> {
    let mut roots = rustls::RootCertStore::empty();
    for root in pki_types::CertificateDer::pem_slice_iter(identity.authority.as_bytes()) {
        roots.add(root.map_err(tls)?).map_err(tls)?;
    }
    let chain = pki_types::CertificateDer::pem_slice_iter(identity.certificate.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(tls)?;
    let key = pki_types::PrivateKeyDer::from_pem_slice(identity.private_key.expose().as_bytes())
        .map_err(tls)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    Ok(Parts { roots: Arc::new(roots), chain, key, provider })
}

/// Builds the settings of the accepting side.
///
/// # Errors
///
/// Fails if a certificate or key can't be used.
pub fn server_config(identity: &Identity) -> Result<quinn::ServerConfig, LinkError> {
    let parts = parts(identity)?;
    let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
        parts.roots,
        Arc::clone(&parts.provider),
    );
    let mut config = rustls::ServerConfig::builder_with_provider(parts.provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls)?
        .with_client_cert_verifier(verifier.build().map_err(tls)?)
        .with_single_cert(parts.chain, parts.key)
        .map_err(tls)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(config).map_err(tls)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
}

/// Builds the settings of the calling side.
///
/// # Errors
///
/// Fails if a certificate or key can't be used.
pub fn client_config(identity: &Identity) -> Result<quinn::ClientConfig, LinkError> {
    let parts = parts(identity)?;
    let mut config = rustls::ClientConfig::builder_with_provider(parts.provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls)?
        .with_root_certificates(parts.roots)
        .with_client_auth_cert(parts.chain, parts.key)
        .map_err(tls)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(config).map_err(tls)?;
    Ok(quinn::ClientConfig::new(Arc::new(crypto)))
}
