//! Command `key new`: generates keys of callers and signers.

use std::path::Path;

use hawthornquay_operators::{
    OperatorKey, caller_key_digest, generate_caller_key, key_digest_text,
};
use serde_json::json;

use crate::{
    CommandError, CommandExit, CommandOutput, NewKey,
    command_files::{create_secret_file, read_document},
};

/// Generates the key of a caller or of a signer.
pub(crate) fn new_key(as_json: bool, new_key: &NewKey) -> Result<CommandOutput, CommandError> {
    match new_key {
        NewKey::Caller {
            bundle,
            organisation,
            name,
        } => caller_key(as_json, bundle, organisation, name),
        NewKey::Signer { signer, out } => signer_key(as_json, signer, out),
    }
}

fn caller_key(
    as_json: bool,
    path: &Path,
    organisation: &str,
    name: &str,
) -> Result<CommandOutput, CommandError> {
    check_name(name)?;
    let document = read_document(path)?;
    let bundle = document.bundle();
    if !bundle.organisations.contains_key(organisation) {
        let mut known: Vec<_> = bundle.organisations.keys().map(|id| id.as_str()).collect();
        known.sort_unstable();
        return Err(CommandError::UnknownOrganisation {
            path: path.to_owned(),
            organisation: organisation.to_owned(),
            known: known.join(", "),
        });
    }
    if bundle.keys.values().any(|key| key.name == name) {
        return Err(CommandError::KeyExists {
            path: path.to_owned(),
            name: name.to_owned(),
        });
    }
    let key = generate_caller_key().map_err(CommandError::NoRandomBytes)?;
    let digest = key_digest_text(&caller_key_digest(&bundle.key_salt, &key));
    let json = json!({
        "key": key,
        "name": name,
        "organisation": organisation,
        "digest": digest,
    });
    let text = format!("[key {name}]\norganisation = {organisation}\ndigest = {digest}\n");
    let mut output = CommandOutput::json_or_text(CommandExit::Done, as_json, &json, text);
    if !as_json {
        // Standard output can be appended to the bundle, which must not contain the key itself.
        output.stderr = format!("key, shown only once: {key}\n");
    }
    Ok(output)
}

fn signer_key(as_json: bool, signer: &str, out: &Path) -> Result<CommandOutput, CommandError> {
    check_name(signer)?;
    let key = OperatorKey::generate().map_err(CommandError::NoRandomBytes)?;
    create_secret_file(out, &format!("{}\n", key.to_base64()))?;
    let public = key.public_base64();
    let json = json!({
        "signer": signer,
        "public_key": public,
        "file": out.display().to_string(),
    });
    let text = format!(
        "; the signing key is in {}\nsigner.{signer} = {public}\n",
        out.display()
    );
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Checks that `name` is not empty and contains only characters that a bundle allows.
pub(crate) fn check_name(name: &str) -> Result<(), CommandError> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    if name.is_empty() || !name.chars().all(allowed) {
        return Err(CommandError::InvalidName {
            name: name.to_owned(),
        });
    }
    Ok(())
}
