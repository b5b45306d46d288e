//! TLS configuration of an instance.

use std::sync::Arc;

use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio_rustls::{
    TlsAcceptor, TlsConnector,
    rustls::{
        ClientConfig, RootCertStore, ServerConfig, crypto::ring, server::WebPkiClientVerifier,
        version::TLS13,
    },
};

use crate::LinkError;

/// Mutual TLS 1.3 as client and server; the peer's certificate has to chain to the authority.
#[derive(Clone)]
pub struct TlsIdentity {
    pub(crate) acceptor: TlsAcceptor,
    pub(crate) connector: TlsConnector,
}

impl TlsIdentity {
    /// Creates the configuration from certificate chain, private key and authority in PEM format.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Pem`] or [`LinkError::Tls`] if the data cannot be parsed or does
    /// not match.
    pub fn from_pem(certificate: &[u8], key: &[u8], authority: &[u8]) -> Result<Self, LinkError> {
        let chain = certificates("certificate", certificate)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(|e| pem_error("key", e))?;
        let mut roots = RootCertStore::empty();
        for root in certificates("authority", authority)? {
            roots.add(root).map_err(|e| pem_error("authority", e))?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(tls_error)?;
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(tls_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(tls_error)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])
            .map_err(tls_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(tls_error)?;
        Ok(Self {
            acceptor: Arc::new(server).into(),
            connector: Arc::new(client).into(),
        })
    }
}

fn certificates(what: &'static str, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    let found: Vec<_> = CertificateDer::pem_slice_iter(pem)
        .collect::<Result<_, _>>()
        .map_err(|e| pem_error(what, e))?;
    if found.is_empty() {
        return Err(pem_error(what, "no certificate found"));
    }
    Ok(found)
}

fn pem_error(what: &'static str, reason: impl ToString) -> LinkError {
    LinkError::Pem {
        what,
        reason: reason.to_string(),
    }
}

fn tls_error(reason: impl ToString) -> LinkError {
    LinkError::Tls(reason.to_string())
}
