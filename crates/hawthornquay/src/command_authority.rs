//! Certificate authority for the certificates of instances.

use hawthornquay_instances::{CertifiedKeyPem, instance_uri};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, PublicKeyData, SanType,
};
use x509_parser::pem::Pem;

use crate::InstanceAddress;

/// Reason why an authority cannot be created, parsed or used.
#[derive(Debug, thiserror::Error)]
pub enum AuthorityError {
    /// The certificate of the authority cannot be parsed.
    #[error("the certificate cannot be parsed")]
    InvalidCertificate,
    /// A key or certificate cannot be created or parsed.
    #[error(transparent)]
    Generate(#[from] rcgen::Error),
    /// The private key does not belong to the certificate.
    #[error("the key is not the one of the certificate")]
    KeyMismatch,
}

/// Certificate authority with its private key.
pub(crate) struct Authority {
    /// Certificate, as PEM text.
    pub(crate) certificate: String,
    /// Private key, as PEM text.
    pub(crate) key: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    pub(crate) fn generate() -> Result<Self, AuthorityError> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "hawthornquay authority");
        let key = KeyPair::generate()?;
        Ok(Self {
            certificate: params.self_signed(&key)?.pem(),
            key: key.serialize_pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Parses an authority from PEM text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text cannot be parsed, or if the key does not belong to the
    /// certificate: instances would refuse all certificates that it signs.
    pub(crate) fn from_pem(certificate: &str, key: &str) -> Result<Self, AuthorityError> {
        let pair = KeyPair::from_pem(key)?;
        let (pem, _) = Pem::read(std::io::Cursor::new(certificate))
            .map_err(|_| AuthorityError::InvalidCertificate)?;
        let parsed = pem
            .parse_x509()
            .map_err(|_| AuthorityError::InvalidCertificate)?;
        if parsed.public_key().raw != pair.subject_public_key_info() {
            return Err(AuthorityError::KeyMismatch);
        }
        Ok(Self {
            certificate: certificate.to_owned(),
            key: key.to_owned(),
            issuer: Issuer::from_ca_cert_pem(certificate, pair)?,
        })
    }

    /// Creates the key and the certificate of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be created.
    pub(crate) fn sign(
        &self,
        instance: &InstanceAddress,
    ) -> Result<CertifiedKeyPem, AuthorityError> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.subject_alt_names = vec![
            SanType::IpAddress(instance.ip),
            SanType::URI(instance_uri(instance.name.as_str()).try_into()?),
        ];
        params
            .distinguished_name
            .push(DnType::CommonName, instance.name.as_str());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        Ok(CertifiedKeyPem {
            certificate: params.signed_by(&key, &self.issuer)?.pem(),
            key: key.serialize_pem(),
        })
    }
}
