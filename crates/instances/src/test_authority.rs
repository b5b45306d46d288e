//! Certificate authority for tests.

use std::net::IpAddr;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::{CertifiedKeyPem, LinkError, TlsIdentity, certificate_name::instance_uri};

/// Generated authority with one certificate for each instance.
pub struct TestAuthority {
    /// Certificate of the authority, in PEM format.
    pub authority: String,
    /// Certificates and keys of the instances, in the order in which they were requested.
    pub instances: Vec<CertifiedKeyPem>,
}

impl TestAuthority {
    /// Returns the TLS identity of the instance at `index`.
    ///
    /// # Errors
    ///
    /// Returns the error of [`TlsIdentity::from_pem`].
    ///
    /// # Panics
    ///
    /// Panics if `index` is out of range.
    pub fn identity(&self, index: usize) -> Result<TlsIdentity, LinkError> {
        let files = &self.instances[index];
        TlsIdentity::from_pem(
            files.certificate.as_bytes(),
            files.key.as_bytes(),
            self.authority.as_bytes(),
        )
    }
}

/// Generates an authority and a certificate for each instance, given by name and IP address.
///
/// The certificate contains the instance name as a URI, which both sides of a link check.
///
/// # Errors
///
/// Returns [`LinkError::Generate`] if a key or certificate cannot be generated.
pub fn generate_test_authority(instances: &[(&str, IpAddr)]) -> Result<TestAuthority, LinkError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "hawthornquay authority");
    let key = KeyPair::generate()?;
    let authority = params.self_signed(&key)?.pem();
    let issuer = Issuer::new(params, key);
    let instances = instances
        .iter()
        .map(|(name, address)| sign_instance(&issuer, name, *address))
        .collect::<Result<_, _>>()?;
    Ok(TestAuthority {
        authority,
        instances,
    })
}

fn sign_instance(
    issuer: &Issuer<'_, KeyPair>,
    name: &str,
    address: IpAddr,
) -> Result<CertifiedKeyPem, LinkError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.subject_alt_names = vec![
        SanType::IpAddress(address),
        SanType::URI(instance_uri(name).try_into()?),
    ];
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    Ok(CertifiedKeyPem {
        certificate: params.signed_by(&key, issuer)?.pem(),
        key: key.serialize_pem(),
    })
}
