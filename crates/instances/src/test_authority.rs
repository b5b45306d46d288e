//! Generation of certificates.

use std::net::IpAddr;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::{CertifiedKeyPem, LinkError, TlsIdentity, certificate_name::instance_uri};

/// New authority with one certificate for each instance, in the order of the request.
pub struct TestAuthority {
    /// Certificate of the authority, as PEM text.
    pub authority: String,
    /// Certificates and keys of the instances.
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
    /// Panics if there is no such instance.
    pub fn identity(&self, index: usize) -> Result<TlsIdentity, LinkError> {
        let files = &self.instances[index];
        TlsIdentity::from_pem(
            files.certificate.as_bytes(),
            files.key.as_bytes(),
            self.authority.as_bytes(),
        )
    }
}

/// Makes an authority and one certificate for each instance with its IP address.
///
/// The certificate names the instance in a URI, which both sides of a link check.
///
/// # Errors
///
/// Returns [`LinkError::Generate`] if a key or certificate cannot be made.
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
