//! Command `bundle accept`: puts a signed bundle in force.

use std::{
    net::SocketAddr,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use hawthornquay_operators::{
    AcceptError, AcceptRequest, AcceptedBundle, BundleDocument, DaemonSettings, Trust,
    accept_bundle,
};
use hawthornquay_store::{CallTimeouts, PlatformClient, StoreRevision};
use serde_json::json;

use crate::{
    CommandError, CommandExit, CommandOutput, PlatformStore,
    command_files::{read_document, read_signatures, read_text, signature_path},
    command_key::check_name,
    command_runtime::block_on,
    command_signature_file::SignatureFile,
};

/// Accepts the bundle in `file` with the signatures in `<file>.signatures`.
pub(crate) fn accept(
    as_json: bool,
    platform: SocketAddr,
    who: &str,
    first_trust: Option<&Path>,
    file: &Path,
) -> Result<CommandOutput, CommandError> {
    check_name(who)?;
    let document = read_document(file)?;
    let path = signature_path(file);
    let signatures = read_matching_signatures(&document, file, &path)?;
    let first_trust = first_trust.map(read_trust).transpose()?;
    let request = AcceptRequest {
        document: &document,
        signatures: &signatures.signatures,
        first_trust: first_trust.as_ref(),
        who,
        when_ms: unix_time_ms(),
    };
    let accepted = block_on(async {
        let client = PlatformClient::new(platform, CallTimeouts::default());
        accept_bundle(&PlatformStore(&client), &request).await
    })?;
    match accepted {
        Ok(accepted) => Ok(accept_output(as_json, &accepted)),
        Err(error) => Err(command_error(error, platform, &path)),
    }
}

fn accept_output(as_json: bool, accepted: &AcceptedBundle) -> CommandOutput {
    let (version, digest) = (accepted.head.version, accepted.head.digest);
    let text = match (accepted.revision, accepted.was_in_force) {
        (_, true) => format!("version {version} was in force already, digest {digest}\n"),
        (Some(_), false) => format!("version {version} is in force, digest {digest}\n"),
        (None, false) => format!(
            "version {version} was accepted and replaced by a later one since, digest {digest}\n"
        ),
    };
    let json = json!({
        "version": version,
        "digest": digest.to_string(),
        "revision": accepted.revision.map(StoreRevision::fencing_number),
        "was_in_force": accepted.was_in_force,
    });
    CommandOutput::json_or_text(CommandExit::Done, as_json, &json, text)
}

fn command_error(error: AcceptError, address: SocketAddr, path: &Path) -> CommandError {
    match error {
        AcceptError::Conflict(race) => CommandError::Conflict(race),
        AcceptError::Signatures(source) => CommandError::Signatures {
            path: path.to_owned(),
            source,
        },
        source @ AcceptError::AuditMissing { .. } => CommandError::AuditMissing { source },
        source @ AcceptError::OutcomeUnknown { .. } => {
            CommandError::OutcomeUnknown { address, source }
        }
        source if source.is_unreachable() => CommandError::NotAccepted { address, source },
        source => CommandError::Rejected { source },
    }
}

/// Reads the signatures of a bundle and checks that they are for its version and digest.
fn read_matching_signatures(
    document: &BundleDocument,
    bundle: &Path,
    path: &Path,
) -> Result<SignatureFile, CommandError> {
    let signatures = read_signatures(path)?.ok_or_else(|| CommandError::NotSigned {
        bundle: bundle.to_owned(),
        path: path.to_owned(),
    })?;
    if !signatures.matches_document(document) {
        return Err(CommandError::SignaturesOfOtherBundle {
            bundle: bundle.to_owned(),
            path: path.to_owned(),
        });
    }
    Ok(signatures)
}

/// Reads the trusted signers from the settings of a daemon.
fn read_trust(path: &Path) -> Result<Trust, CommandError> {
    DaemonSettings::read(&path.display().to_string(), &read_text(path)?)
        .map(|settings| settings.trust)
        .map_err(|faults| CommandError::Faults(Box::new(faults)))
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
