//! Reading and writing of files.

use std::{
    fs,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use hawthornquay_operators::{BundleDocument, OperatorKey};

use crate::{CommandError, command_signature_file::SignatureFile};

/// Permissions of a file with a secret key: only the owner may read and write it.
const SECRET_MODE: u32 = 0o600;
/// Permissions of a file that every user may read.
const PUBLIC_MODE: u32 = 0o644;

pub(crate) fn read_document(path: &Path) -> Result<BundleDocument, CommandError> {
    let text = read_text(path)?;
    BundleDocument::read(&path.display().to_string(), &text)
        .map_err(|faults| CommandError::Faults(Box::new(faults)))
}

pub(crate) fn read_operator_key(path: &Path) -> Result<OperatorKey, CommandError> {
    OperatorKey::from_base64(&read_text(path)?).map_err(|source| CommandError::SigningKey {
        path: path.to_owned(),
        source,
    })
}

/// Returns the path of the signatures of a bundle: `<bundle>.signatures`.
pub(crate) fn signature_path(bundle: &Path) -> PathBuf {
    let mut name = bundle.as_os_str().to_owned();
    name.push(".signatures");
    name.into()
}

/// Reads the signatures of a bundle; returns `None` if the file does not exist.
pub(crate) fn read_signatures(path: &Path) -> Result<Option<SignatureFile>, CommandError> {
    if !path.exists() {
        return Ok(None);
    }
    let file: SignatureFile =
        serde_json::from_str(&read_text(path)?).map_err(|source| CommandError::SignatureFile {
            path: path.to_owned(),
            source,
        })?;
    match file.malformed_signer() {
        Some(signer) => Err(CommandError::MalformedSignature {
            path: path.to_owned(),
            signer: signer.to_owned(),
        }),
        None => Ok(Some(file)),
    }
}

/// Replaces a file atomically, so that an interrupted write leaves the old content.
pub(crate) fn replace_file(path: &Path, text: &str) -> Result<(), CommandError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    fs::write(&temporary, text)
        .and_then(|()| fs::rename(&temporary, path))
        .map_err(|source| write_error(path, source))
}

/// Writes a secret to a new file; an existing file is never replaced.
pub(crate) fn create_secret_file(path: &Path, text: &str) -> Result<(), CommandError> {
    create_file(path, text, SECRET_MODE)
}

/// Writes a new file that every user may read; an existing file is never replaced.
pub(crate) fn create_public_file(path: &Path, text: &str) -> Result<(), CommandError> {
    create_file(path, text, PUBLIC_MODE)
}

fn create_file(path: &Path, text: &str, mode: u32) -> Result<(), CommandError> {
    fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|source| write_error(path, source))
}

pub(crate) fn write_error(path: &Path, source: std::io::Error) -> CommandError {
    CommandError::Write {
        path: path.to_owned(),
        source,
    }
}

pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.to_owned(),
        source,
    })
}
