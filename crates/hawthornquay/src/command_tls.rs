//! Commands about certificates.

use std::{
    fs,
    path::{Path, PathBuf},
};

use hawthornquay_decisions::Set;
use hawthornquay_instances::generate_test_authority;
use serde_json::json;

use crate::{
    CommandError, CommandExit, CommandOutput, InstanceAddress,
    command_files::{create_public_file, create_secret_file, write_error},
    command_key::check_name,
};

/// Name of the authority's file without its extension.
const AUTHORITY: &str = "authority";

/// Makes an authority with a certificate and a key for each instance.
pub(crate) fn new_certificates(
    as_json: bool,
    out: &Path,
    instances: &[InstanceAddress],
) -> Result<CommandOutput, CommandError> {
    check_names(instances)?;
    let authority = out.join(format!("{AUTHORITY}.pem"));
    let paths: Vec<(PathBuf, PathBuf)> = instances
        .iter()
        .map(|instance| instance_paths(out, &instance.name))
        .collect();
    let instance_files = paths
        .iter()
        .flat_map(|(certificate, key)| [certificate, key]);
    for path in instance_files.chain([&authority]) {
        // A dangling link counts as a file too.
        if path.symlink_metadata().is_ok() {
            return Err(CommandError::FileExists {
                path: path.to_owned(),
            });
        }
    }
    let request: Vec<_> = instances
        .iter()
        .map(|instance| (instance.name.as_str(), instance.ip))
        .collect();
    let made = generate_test_authority(&request)?;

    fs::create_dir_all(out).map_err(|source| write_error(out, source))?;
    for ((certificate, key), pem) in paths.iter().zip(&made.instances) {
        create_public_file(certificate, &pem.certificate)?;
        create_secret_file(key, &pem.key)?;
    }
    // The authority comes last, so that a directory with an authority is complete.
    create_public_file(&authority, &made.authority)?;

    let mut text = format!("{}: certificate of the authority\n", authority.display());
    let mut listed = Vec::new();
    for (instance, (certificate, key)) in instances.iter().zip(&paths) {
        text += &format!(
            "{}, {}: certificate and key of {} at {}\n",
            certificate.display(),
            key.display(),
            instance.name,
            instance.ip
        );
        listed.push(json!({
            "name": instance.name,
            "ip": instance.ip.to_string(),
            "certificate": certificate.display().to_string(),
            "key": key.display().to_string(),
        }));
    }
    let json = json!({"authority": authority.display().to_string(), "instances": listed});
    Ok(CommandOutput::of(CommandExit::Done, as_json, &json, text))
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

fn instance_paths(out: &Path, name: &str) -> (PathBuf, PathBuf) {
    (
        out.join(format!("{name}.pem")),
        out.join(format!("{name}.key")),
    )
}
