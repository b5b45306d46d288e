//! Instance names in certificates.

use hawthornquay_decisions::{InstanceId, InstanceName};
use rustls_pki_types::CertificateDer;
use webpki::EndEntityCert;

use crate::LinkError;

/// Prefix of the URI that identifies an instance in its certificate.
///
/// A URI is compared exactly. DNS names are compared without case, so two instance names that
/// differ only in case would match the same certificate.
const URI_PREFIX: &str = "urn:hawthornquay:instance:";

/// Returns the URI for the subject alternative name of an instance's certificate.
pub fn instance_uri(name: &str) -> String {
    format!("{URI_PREFIX}{name}")
}

/// Checks that the verified certificate of a peer contains the instance name that the peer claims.
///
/// # Errors
///
/// Returns [`LinkError::CertificateNameMismatch`] if it does not.
pub(crate) fn check_certificate_name(
    certificates: &[CertificateDer<'_>],
    claimed: &InstanceId,
) -> Result<(), LinkError> {
    let names = certificates
        .first()
        .and_then(|certificate| EndEntityCert::try_from(certificate).ok())
        .map(|certificate| certificate_names(&certificate))
        .unwrap_or_default();
    if names.contains(&claimed.name) {
        return Ok(());
    }
    Err(LinkError::CertificateNameMismatch {
        claimed: claimed.name.clone(),
        certified: names,
    })
}

fn certificate_names(certificate: &EndEntityCert<'_>) -> Vec<InstanceName> {
    certificate
        .valid_uri_names()
        .filter_map(|uri| uri.strip_prefix(URI_PREFIX))
        .map(InstanceName::new)
        .collect()
}
