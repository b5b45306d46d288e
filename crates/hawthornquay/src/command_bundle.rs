//! Commands that check, compare, sign and show bundles.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use hawthornquay_operators::{
    BundleDocument, LoadError, OperatorKey, SignatureError, Trust, load_content, load_head,
};
use hawthornquay_store::{CallTimeouts, PlatformClient};
use serde_json::{Value, json};

use crate::{
    CommandError, CommandExit, CommandOutput, PlatformStore,
    command_files::{
        read_document, read_operator_key, read_signatures, replace_file, signature_path,
    },
    command_output::changes_json,
    command_runtime::block_on,
    command_signature_file::SignatureFile,
};

/// Validates each file and reports all faults of all files.
pub(crate) fn check(as_json: bool, files: &[PathBuf]) -> CommandOutput {
    let mut output = CommandOutput::new(CommandExit::Done, String::new());
    let mut results = Vec::new();
    for file in files {
        let error = match read_document(file) {
            Ok(document) => {
                results.push(json!({
                    "file": file.display().to_string(),
                    "version": document.version(),
                    "digest": document.digest().to_string(),
                }));
                output.stdout += &format!(
                    "{}: version {} is valid, digest {}\n",
                    file.display(),
                    document.version(),
                    document.digest()
                );
                continue;
            }
            Err(error) => error,
        };
        output.exit = error.exit();
        if as_json {
            let mut value = error.to_json();
            value["file"] = json!(file.display().to_string());
            results.push(value);
        } else {
            output.stderr += &error.into_output(false).stderr;
        }
    }
    if as_json {
        output.stdout = format!("{:#}\n", Value::from(results));
    }
    output
}

/// Shows the difference between two bundles at the level of sections. The exit status is
/// `Refused` if they differ.
pub(crate) fn diff(as_json: bool, old: &Path, new: &Path) -> Result<CommandOutput, CommandError> {
    let (old, new) = (read_document(old)?, read_document(new)?);
    let difference = new.difference_from(&old);
    let changes = changes_json(&difference);
    let exit = if changes.is_empty() {
        CommandExit::Done
    } else {
        CommandExit::Refused
    };
    let json = json!({
        "old": {"version": old.version(), "digest": old.digest().to_string()},
        "new": {"version": new.version(), "digest": new.digest().to_string()},
        "changes": changes,
    });
    let text = if exit == CommandExit::Done {
        String::new()
    } else {
        difference.to_string()
    };
    Ok(CommandOutput::json_or_text(exit, as_json, &json, text))
}

/// Signs a bundle and adds the signature to `<file>.signatures`.
pub(crate) fn sign(
    as_json: bool,
    key: &Path,
    signer: &str,
    predecessor: Option<&Path>,
    file: &Path,
) -> Result<CommandOutput, CommandError> {
    let document = read_document(file)?;
    let key = read_operator_key(key)?;
    let trust = match predecessor {
        None => None,
        Some(path) => Some(check_signer(path, signer, &key)?),
    };
    let path = signature_path(file);
    // Signatures for an earlier content of the file are not valid for the present one.
    let mut signatures = read_signatures(&path)?
        .filter(|signatures| signatures.matches_document(&document))
        .unwrap_or_else(|| SignatureFile::new(&document));
    signatures.add(key.sign(signer, document.version(), &document.digest()));
    let text = format!("{:#}\n", json!(signatures));
    replace_file(&path, &text)?;
    let missing = trust.map(|trust| missing_signatures(&trust, &signatures));
    let json = json!({
        "file": path.display().to_string(),
        "version": signatures.version,
        "digest": signatures.digest.to_string(),
        "signatures": signatures.signatures.len(),
        "missing": missing,
    });
    let mut text = format!(
        "signed version {} as {signer}; {} has {} signature(s)\n",
        signatures.version,
        path.display(),
        signatures.signatures.len()
    );
    match missing {
        Some(0) => text += "the bundle has enough signatures to be accepted\n",
        Some(missing) => text += &format!("{missing} more needed to accept the bundle\n"),
        None => {}
    }
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Checks that the predecessor names the signer with this key, and returns the trust of the
/// predecessor.
fn check_signer(path: &Path, name: &str, key: &OperatorKey) -> Result<Trust, CommandError> {
    let trust = Trust::of_predecessor(read_document(path)?.bundle());
    let Some(signer) = trust.signers.iter().find(|signer| signer.name == name) else {
        let known: Vec<_> = trust
            .signers
            .iter()
            .map(|signer| signer.name.as_str())
            .collect();
        return Err(CommandError::UnknownSigner {
            path: path.to_owned(),
            signer: name.to_owned(),
            known: known.join(", "),
        });
    };
    if signer.public_key != key.public_bytes() {
        return Err(CommandError::WrongSignerKey {
            signer: name.to_owned(),
            predecessor: path.to_owned(),
        });
    }
    Ok(trust)
}

/// Returns the number of valid signatures that are still needed.
fn missing_signatures(trust: &Trust, file: &SignatureFile) -> u32 {
    match trust.verify(file.version, &file.digest, &file.signatures) {
        Ok(()) => 0,
        Err(SignatureError::TooFew { valid, needed, .. }) => needed - valid,
        Err(SignatureError::InvalidKey) => trust.signatures_needed,
    }
}

/// Shows a summary of the bundle in a file.
pub(crate) fn show(as_json: bool, file: &Path) -> Result<CommandOutput, CommandError> {
    let document = read_document(file)?;
    let path = signature_path(file);
    let signed_by: Vec<String> = read_signatures(&path)?
        .filter(|signatures| signatures.matches_document(&document))
        .into_iter()
        .flat_map(|signatures| signatures.signatures)
        .map(|signature| signature.signer)
        .collect();
    Ok(show_document(as_json, &document, &signed_by))
}

/// Shows a summary of the bundle in force, or its text.
pub(crate) fn show_in_force(
    as_json: bool,
    address: SocketAddr,
    as_text: bool,
) -> Result<CommandOutput, CommandError> {
    let loaded = block_on(async {
        let client = PlatformClient::new(address, CallTimeouts::default());
        let store = PlatformStore(&client);
        let Some(stored) = load_head(&store).await? else {
            return Ok(None);
        };
        let document = load_content(&store, &stored.head).await?;
        Ok(Some((stored.head, document)))
    })?;
    let loaded = loaded.map_err(|error: LoadError| match error {
        LoadError::Store(source) => CommandError::PlatformUnavailable {
            address,
            source: source.into(),
        },
        source => CommandError::StoredBundle { address, source },
    })?;
    let (head, document) = loaded.ok_or(CommandError::NoBundle { address })?;
    if as_text {
        let json = json!({"version": head.version, "text": document.canonical()});
        let text = document.canonical().to_owned();
        return Ok(CommandOutput::json_or_text(
            CommandExit::Done,
            as_json,
            &json,
            text,
        ));
    }
    let signers = head.signatures.into_iter();
    let signed_by: Vec<String> = signers.map(|signature| signature.signer).collect();
    Ok(show_document(as_json, &document, &signed_by))
}

fn show_document(as_json: bool, document: &BundleDocument, signed_by: &[String]) -> CommandOutput {
    let json = summary(document, signed_by);
    let mut text = String::new();
    if let Value::Object(fields) = &json {
        for (name, value) in fields {
            text += &match value {
                Value::Array(items) => {
                    let items: Vec<_> = items.iter().filter_map(Value::as_str).collect();
                    format!("{name}: {}\n", items.join(", "))
                }
                Value::String(value) => format!("{name}: {value}\n"),
                other => format!("{name}: {other}\n"),
            };
        }
    }
    CommandOutput::json_or_text(CommandExit::Done, as_json, &json, text)
}

fn summary(document: &BundleDocument, signed_by: &[String]) -> Value {
    let bundle = document.bundle();
    let mut organisations: Vec<_> = bundle.organisations.keys().map(|id| id.as_str()).collect();
    let mut domains: Vec<_> = bundle.domains.keys().map(|name| name.as_str()).collect();
    let mut routes: Vec<_> = bundle.routes.iter().map(|route| &route.path).collect();
    organisations.sort_unstable();
    domains.sort_unstable();
    routes.sort_unstable();
    json!({
        "version": document.version(),
        "digest": document.digest().to_string(),
        "signatures_needed": bundle.signatures_needed,
        "signers": bundle.signers.iter().map(|signer| &signer.name).collect::<Vec<_>>(),
        "signed_by": signed_by,
        "domains": domains,
        "organisations": organisations,
        "keys": bundle.keys.len(),
        "routes": routes,
        "backends": bundle.backends.len(),
    })
}
