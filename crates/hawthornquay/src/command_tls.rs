//! Commands about certificates.

use std::{
    fs,
    path::{Path, PathBuf},
};

use hawthornquay_decisions::Set;
use hawthornquay_instances::PemFiles;
use serde_json::{Value, json};

use crate::{
    AuthorityError, CommandError, CommandExit, CommandOutput, InstanceAddress,
    command_authority::Authority,
    command_files::{create_public_file, create_secret_file, read_text, write_error},
    command_key::check_name,
};

/// Name of the authority's files without their extension.
const AUTHORITY: &str = "authority";

/// Paths of a certificate and its key.
struct Paths {
    certificate: PathBuf,
    key: PathBuf,
}

impl Paths {
    fn of(directory: &Path, name: &str) -> Self {
        Self {
            certificate: directory.join(format!("{name}.pem")),
            key: directory.join(format!("{name}.key")),
        }
    }

    /// Returns an error if one of the files exists; a dangling link counts as a file too.
    fn check_absent(&self) -> Result<(), CommandError> {
        for path in [&self.certificate, &self.key] {
            if path.symlink_metadata().is_ok() {
                return Err(CommandError::FileExists { path: path.clone() });
            }
        }
        Ok(())
    }

    fn create(&self, pem: &PemFiles) -> Result<(), CommandError> {
        create_public_file(&self.certificate, &pem.certificate)?;
        create_secret_file(&self.key, &pem.key)
    }
}

/// Makes an authority with a certificate and a key for each instance.
pub(crate) fn new_certificates(
    as_json: bool,
    out: &Path,
    instances: &[InstanceAddress],
) -> Result<CommandOutput, CommandError> {
    check_names(instances)?;
    let own = Paths::of(out, AUTHORITY);
    let paths = absent_paths(out, instances)?;
    own.check_absent()?;
    let authority = Authority::generate().map_err(|source| authority_error(out, source))?;
    let made = sign_all(out, &authority, instances)?;

    fs::create_dir_all(out).map_err(|source| write_error(out, source))?;
    for (paths, pem) in paths.iter().zip(&made) {
        paths.create(pem)?;
    }
    // The authority's certificate comes last, so that a directory with it is complete.
    create_secret_file(&own.key, &authority.key)?;
    create_public_file(&own.certificate, &authority.certificate)?;

    let (text, listed) = report(instances, &paths);
    let text = format!(
        "{}, {}: certificate and key of the authority; no instance needs the key\n{text}",
        own.certificate.display(),
        own.key.display()
    );
    let json = json!({
        "authority": own.certificate.display().to_string(),
        "authority_key": own.key.display().to_string(),
        "instances": listed,
    });
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Signs certificates for further instances with the authority in `directory`.
pub(crate) fn add_certificates(
    as_json: bool,
    directory: &Path,
    instances: &[InstanceAddress],
) -> Result<CommandOutput, CommandError> {
    check_names(instances)?;
    let own = Paths::of(directory, AUTHORITY);
    let certificate = read_text(&own.certificate)?;
    if !own.key.exists() {
        return Err(CommandError::NoAuthorityKey { path: own.key });
    }
    let authority = Authority::from_pem(&certificate, &read_text(&own.key)?)
        .map_err(|source| authority_error(directory, source))?;
    let paths = absent_paths(directory, instances)?;
    let made = sign_all(directory, &authority, instances)?;
    for (paths, pem) in paths.iter().zip(&made) {
        paths.create(pem)?;
    }
    let (text, listed) = report(instances, &paths);
    let json = json!({
        "authority": own.certificate.display().to_string(),
        "instances": listed,
    });
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

fn absent_paths(
    directory: &Path,
    instances: &[InstanceAddress],
) -> Result<Vec<Paths>, CommandError> {
    let mut all = Vec::new();
    for instance in instances {
        let paths = Paths::of(directory, &instance.name);
        paths.check_absent()?;
        all.push(paths);
    }
    Ok(all)
}

fn sign_all(
    directory: &Path,
    authority: &Authority,
    instances: &[InstanceAddress],
) -> Result<Vec<PemFiles>, CommandError> {
    let signed = instances.iter().map(|instance| authority.sign(instance));
    signed
        .collect::<Result<_, _>>()
        .map_err(|source| authority_error(directory, source))
}

fn report(instances: &[InstanceAddress], paths: &[Paths]) -> (String, Vec<Value>) {
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

fn check_names(instances: &[InstanceAddress]) -> Result<(), CommandError> {
    let mut names = Set::default();
    names.insert(AUTHORITY);
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
