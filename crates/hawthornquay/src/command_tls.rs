//! Commands `tls new` and `tls add`: create certificates of instances.

use std::{
    fs,
    path::{Path, PathBuf},
};

use hawthornquay_decisions::Set;
use hawthornquay_instances::CertifiedKeyPem;
use serde_json::{Value, json};

use crate::{
    AuthorityError, CommandError, CommandExit, CommandOutput, InstanceAddress,
    command_authority::Authority,
    command_files::{create_public_file, create_secret_file, read_text, write_error},
    command_key::check_name,
};

/// Name of the authority's files without their extension.
const AUTHORITY_NAME: &str = "authority";

/// CertificatePaths of a certificate and its key.
struct CertificatePaths {
    certificate: PathBuf,
    key: PathBuf,
}

impl CertificatePaths {
    fn of(directory: &Path, name: &str) -> Self {
        Self {
            certificate: directory.join(format!("{name}.pem")),
            key: directory.join(format!("{name}.key")),
        }
    }

    /// Returns an error if one of the files exists. A dangling symbolic link counts as a file.
    fn check_absent(&self) -> Result<(), CommandError> {
        for path in [&self.certificate, &self.key] {
            if path.symlink_metadata().is_ok() {
                return Err(CommandError::FileExists { path: path.clone() });
            }
        }
        Ok(())
    }

    fn create(&self, pem: &CertifiedKeyPem) -> Result<(), CommandError> {
        create_public_file(&self.certificate, &pem.certificate)?;
        create_secret_file(&self.key, &pem.key)
    }
}

/// Creates an authority, and a certificate and key for each instance.
pub(crate) fn new_certificates(
    as_json: bool,
    out: &Path,
    instances: &[InstanceAddress],
) -> Result<CommandOutput, CommandError> {
    check_names(instances)?;
    let authority_paths = CertificatePaths::of(out, AUTHORITY_NAME);
    let paths = absent_paths(out, instances)?;
    authority_paths.check_absent()?;
    let authority = Authority::generate().map_err(|source| authority_error(out, source))?;
    let certificates = sign_all(out, &authority, instances)?;

    fs::create_dir_all(out).map_err(|source| write_error(out, source))?;
    for (paths, pem) in paths.iter().zip(&certificates) {
        paths.create(pem)?;
    }
    // The authority's certificate is written last, so that its presence shows that all files exist.
    create_secret_file(&authority_paths.key, &authority.key)?;
    create_public_file(&authority_paths.certificate, &authority.certificate)?;

    let (text, listed) = report_files(instances, &paths);
    let text = format!(
        "{}, {}: certificate and key of the authority; no instance needs the key\n{text}",
        authority_paths.certificate.display(),
        authority_paths.key.display()
    );
    let json = json!({
        "authority": authority_paths.certificate.display().to_string(),
        "authority_key": authority_paths.key.display().to_string(),
        "instances": listed,
    });
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Creates certificates and keys of additional instances with the authority in `directory`.
pub(crate) fn add_certificates(
    as_json: bool,
    directory: &Path,
    instances: &[InstanceAddress],
) -> Result<CommandOutput, CommandError> {
    check_names(instances)?;
    let authority_paths = CertificatePaths::of(directory, AUTHORITY_NAME);
    let certificate = read_text(&authority_paths.certificate)?;
    if !authority_paths.key.exists() {
        return Err(CommandError::NoAuthorityKey {
            path: authority_paths.key,
        });
    }
    let authority = Authority::from_pem(&certificate, &read_text(&authority_paths.key)?)
        .map_err(|source| authority_error(directory, source))?;
    let paths = absent_paths(directory, instances)?;
    let certificates = sign_all(directory, &authority, instances)?;
    for (paths, pem) in paths.iter().zip(&certificates) {
        paths.create(pem)?;
    }
    let (text, listed) = report_files(instances, &paths);
    let json = json!({
        "authority": authority_paths.certificate.display().to_string(),
        "instances": listed,
    });
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Returns the paths of each instance, or an error if one of the files exists.
fn absent_paths(
    directory: &Path,
    instances: &[InstanceAddress],
) -> Result<Vec<CertificatePaths>, CommandError> {
    let mut all = Vec::new();
    for instance in instances {
        let paths = CertificatePaths::of(directory, &instance.name);
        paths.check_absent()?;
        all.push(paths);
    }
    Ok(all)
}

fn sign_all(
    directory: &Path,
    authority: &Authority,
    instances: &[InstanceAddress],
) -> Result<Vec<CertifiedKeyPem>, CommandError> {
    let signed = instances.iter().map(|instance| authority.sign(instance));
    signed
        .collect::<Result<_, _>>()
        .map_err(|source| authority_error(directory, source))
}

/// Returns the created files as text and as JSON.
fn report_files(instances: &[InstanceAddress], paths: &[CertificatePaths]) -> (String, Vec<Value>) {
    let mut text = String::new();
    let mut listed = Vec::new();
    for (instance, paths) in instances.iter().zip(paths) {
        text += &format!(
            "{}, {}: certificate and key of {} at {}\n",
            paths.certificate.display(),
            paths.key.display(),
            instance.name,
            instance.ip
        );
        listed.push(json!({
            "name": instance.name,
            "ip": instance.ip.to_string(),
            "certificate": paths.certificate.display().to_string(),
            "key": paths.key.display().to_string(),
        }));
    }
    (text, listed)
}

/// Returns an error if a name is invalid, repeated or that of the authority.
fn check_names(instances: &[InstanceAddress]) -> Result<(), CommandError> {
    let mut names = Set::default();
    names.insert(AUTHORITY_NAME);
    for instance in instances {
        check_name(&instance.name)?;
        if !names.insert(&instance.name) {
            return Err(CommandError::DuplicateInstance {
                name: instance.name.clone(),
            });
        }
    }
    Ok(())
}

fn authority_error(directory: &Path, source: AuthorityError) -> CommandError {
    CommandError::Authority {
        directory: directory.to_owned(),
        source,
    }
}
