//! Errors of the command.

use std::{net::SocketAddr, path::PathBuf};

use hawthornquay_operators::{AcceptConflict, AcceptError, Faults, LoadError, SignatureError};
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde_json::{Value, json};

use crate::{
    AuthorityError, CommandExit, CommandOutput, InstanceError, ParsedRequestId,
    command_output::changes_json,
};

/// Reason why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// The bundle is in force, but its audit record is missing.
    #[error("{source}")]
    #[diagnostic(help("run the same command again; it writes only what is missing"))]
    AuditMissing {
        /// Cause.
        source: AcceptError,
    },
    /// Certificates cannot be created.
    #[error("cannot create certificates with the authority in {}: {source}", directory.display())]
    #[diagnostic(help(
        "pass a directory with the files `authority.pem` and `authority.key` that `tls new` wrote"
    ))]
    Authority {
        /// Directory of the authority.
        directory: PathBuf,
        /// Cause.
        source: AuthorityError,
    },
    /// Two instances have the same name, or one has the name of the authority's files.
    #[error("the name `{name}` is taken by another certificate")]
    #[diagnostic(help("give each instance a different name other than `authority`"))]
    DuplicateInstance {
        /// The name.
        name: String,
    },
    /// The logs contain no entry about the request.
    #[error("no line of {logs} logs names request `{id}`")]
    #[diagnostic(help(
        "pass the logs of all instances; `suppressed` in them counts lines that were not written"
    ))]
    RequestNotLogged {
        /// Identifier of the request.
        id: String,
        /// Number of logs that were read.
        logs: usize,
    },
    /// A file that the command would create already exists.
    #[error("{} exists already; nothing was written", path.display())]
    #[diagnostic(help("choose another directory, or move the file away"))]
    FileExists {
        /// Path of the file.
        path: PathBuf,
    },
    /// A bundle or settings file has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] Box<Faults>),
    /// The key of the authority is missing from the directory with its certificate.
    #[error("{} does not exist, so the authority cannot sign", path.display())]
    #[diagnostic(help(
        "copy the key that `tls new` wrote to this path; if it is lost, create new certificates \
         for all instances with `hawthornquay tls new`"
    ))]
    NoAuthorityKey {
        /// Path of the key.
        path: PathBuf,
    },
    /// The operating system provides no random bytes.
    #[error("cannot read random bytes from the operating system: {0}")]
    #[diagnostic(help("try again, or use another machine"))]
    NoRandomBytes(#[source] std::io::Error),
    /// The signing key differs from the signer's key in the predecessor.
    #[error("the key is not the one that {} names for signer `{signer}`", predecessor.display())]
    #[diagnostic(help("pass the key file of `{signer}`, or another `--signer`"))]
    WrongSignerKey {
        /// Name of the signer.
        signer: String,
        /// Path of the predecessor.
        predecessor: PathBuf,
    },
    /// An instance could not be reached or returned no usable response.
    #[error("no usable answer from the instance at {address}: {source}")]
    #[diagnostic(help("check that this is the operators' address of a running instance"))]
    InstanceUnavailable {
        /// Address of the instance.
        address: SocketAddr,
        /// Cause.
        source: InstanceError,
    },
    /// The text is not an identifier of a request.
    #[error("`{text}` is no identifier of a request")]
    #[diagnostic(help(
        "pass the value of X-Request-Id in the response: <instance>-<incarnation>-<sequence>"
    ))]
    InvalidRequestId {
        /// The text.
        text: String,
    },
    /// Another bundle with the same or a later version is in force.
    #[error(
        "version {} with digest {} is in force already; the bundle was not accepted",
        .0.current.version,
        .0.current.digest
    )]
    #[diagnostic(help(
        "apply your change to the bundle in force and increase `version`; the output shows the \
         difference from your bundle to the one in force"
    ))]
    Conflict(Box<AcceptConflict>),
    /// The platform refused a call or did not respond; the bundle was not accepted.
    #[error(
        "the bundle was not accepted; the platform at {address} refused the call or did not \
         respond: {source}"
    )]
    #[diagnostic(help(
        "check the address; if the platform has an outage or its rate limit is exceeded, run the \
         command again later"
    ))]
    NotAccepted {
        /// Address of the platform.
        address: SocketAddr,
        /// Cause.
        source: AcceptError,
    },
    /// A signature in a file is malformed.
    #[error("{}: the signature of `{signer}` is malformed", path.display())]
    #[diagnostic(help("remove the file, and let its signers sign the bundle again"))]
    MalformedSignature {
        /// Path of the file with signatures.
        path: PathBuf,
        /// Name of the signer.
        signer: String,
    },
    /// No bundle has been accepted yet.
    #[error("the platform at {address} holds no bundle yet")]
    #[diagnostic(help("put a signed bundle in force with `hawthornquay bundle accept`"))]
    NoBundle {
        /// Address of the platform.
        address: SocketAddr,
    },
    /// The file with the signatures of a bundle does not exist.
    #[error("{} has no signatures: {} does not exist", bundle.display(), path.display())]
    #[diagnostic(help(
        "sign it with `hawthornquay bundle sign --key FILE --signer NAME {}`",
        bundle.display()
    ))]
    NotSigned {
        /// Path of the bundle.
        bundle: PathBuf,
        /// Expected path of the file with signatures.
        path: PathBuf,
    },
    /// The platform lists no instance with this name.
    #[error("the platform at {address} lists no instance `{name}`")]
    #[diagnostic(help(
        "an instance that has exited has no record of its requests; if the instance runs, pass its \
         operators' address instead of --platform"
    ))]
    InstanceNotListed {
        /// Address of the platform.
        address: SocketAddr,
        /// Name of the instance.
        name: String,
    },
    /// The signatures are for another version or digest than that of the bundle.
    #[error("{} contains signatures of another text than {}", path.display(), bundle.display())]
    #[diagnostic(help(
        "the bundle was changed after it was signed; let its signers sign it again"
    ))]
    SignaturesOfOtherBundle {
        /// Path of the bundle.
        bundle: PathBuf,
        /// Path of the file with signatures.
        path: PathBuf,
    },
    /// The responses of the platform were lost; it is unknown whether the bundle was accepted.
    #[error("{source} (the answers of the platform at {address} were lost)")]
    #[diagnostic(help(
        "run the same command again: it has no further effect if the bundle is in force"
    ))]
    OutcomeUnknown {
        /// Address of the platform.
        address: SocketAddr,
        /// Cause.
        source: AcceptError,
    },
    /// A read from the platform failed.
    #[error("cannot read from the platform at {address}: {source}")]
    #[diagnostic(help(
        "check the address; if the platform has an outage or its rate limit is exceeded, run the \
         command again later"
    ))]
    PlatformUnavailable {
        /// Address of the platform.
        address: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions"))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The bundle was refused.
    #[error("the bundle was not accepted: {source}")]
    #[diagnostic(help("nothing was changed; correct the cause and run the command again"))]
    Rejected {
        /// Cause.
        source: AcceptError,
    },
    /// The instance has no record of the request.
    #[error(
        "the instance at {address} does not know request {}; the identifier names `{}`, which may \
         have restarted or deleted its record of the request since",
        id.text,
        id.instance
    )]
    #[diagnostic(help(
        "check the identifier and the address; an instance keeps records of its latest requests \
         until it exits"
    ))]
    RequestUnknown {
        /// Address of the instance.
        address: SocketAddr,
        /// Identifier of the request.
        id: ParsedRequestId,
    },
    /// A file with signatures is malformed.
    #[error("{} is no file of signatures: {source}", path.display())]
    #[diagnostic(help("remove the file and sign again"))]
    SignatureFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// Too few signatures in a file are valid.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "let signers that the bundle in force names sign with `hawthornquay bundle sign`, and pass \
         that bundle as `--predecessor` to count the signatures"
    ))]
    Signatures {
        /// Path of the file with signatures.
        path: PathBuf,
        /// Cause.
        source: SignatureError,
    },
    /// A file does not contain a signing key.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("pass a file that `hawthornquay key new --signer` wrote"))]
    SigningKey {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: SignatureError,
    },
    /// The runtime for network calls cannot be started.
    #[error("cannot start the runtime for network calls: {0}")]
    #[diagnostic(help("check the system limits on open files and threads"))]
    RuntimeStart(#[source] std::io::Error),
    /// The bundle in the store cannot be loaded.
    #[error("the platform at {address} holds a bundle that cannot be used: {source}")]
    #[diagnostic(help(
        "running instances keep their current bundle; restore the named value in the store"
    ))]
    StoredBundle {
        /// Address of the platform.
        address: SocketAddr,
        /// Cause.
        source: LoadError,
    },
    /// A name is empty or contains characters that a bundle does not allow.
    #[error("`{name}` is no name")]
    #[diagnostic(help("use letters, digits and `-_.`"))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// The bundle already has a key with this name.
    #[error("{} already has a key `{name}`", path.display())]
    #[diagnostic(help("choose another `--name`"))]
    KeyExists {
        /// Path of the bundle.
        path: PathBuf,
        /// Name of the key.
        name: String,
    },
    /// The bundle has no organisation with this name.
    #[error("{} has no organisation `{organisation}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownOrganisation {
        /// Path of the bundle.
        path: PathBuf,
        /// Name in the command.
        organisation: String,
        /// Names of the organisations in the bundle, separated by commas.
        known: String,
    },
    /// The predecessor has no signer with this name.
    #[error("{} has no signer `{signer}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownSigner {
        /// Path of the predecessor.
        path: PathBuf,
        /// Name in the command.
        signer: String,
        /// Names of the signers in the predecessor, separated by commas.
        known: String,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions; a key file must not exist yet"))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit(&self) -> CommandExit {
        match self {
            Self::InstanceUnavailable { .. }
            | Self::Conflict(_)
            | Self::NoBundle { .. }
            | Self::InstanceNotListed { .. }
            | Self::WrongSignerKey { .. }
            | Self::Rejected { .. }
            | Self::RequestUnknown { .. }
            | Self::Signatures { .. }
            | Self::StoredBundle { .. }
            | Self::UnknownSigner { .. } => CommandExit::Refused,
            Self::AuditMissing { .. }
            | Self::NotAccepted { .. }
            | Self::OutcomeUnknown { .. }
            | Self::PlatformUnavailable { .. } => CommandExit::Unreachable,
            _ => CommandExit::BadInput,
        }
    }

    /// Renders the error for a user, or as JSON on standard output.
    pub(crate) fn into_output(self, as_json: bool) -> CommandOutput {
        let exit = self.exit();
        if as_json {
            return CommandOutput::new(exit, format!("{:#}\n", self.to_json()));
        }
        let mut stderr = String::new();
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        if handler.render_report(&mut stderr, &self).is_err() {
            stderr = format!("{self}\n");
        }
        let stdout = match self {
            Self::Conflict(race) => race.difference.to_string(),
            _ => String::new(),
        };
        CommandOutput {
            exit,
            stdout,
            stderr,
        }
    }

    /// Returns the error as the value of the key `error`.
    pub(crate) fn to_json(&self) -> Value {
        let faults: Vec<Value> = match self {
            Self::Faults(faults) => faults
                .faults
                .iter()
                .map(|fault| {
                    json!({
                        "file": fault.file,
                        "line": fault.line,
                        "message": fault.message,
                        "remedy": fault.remedy,
                    })
                })
                .collect(),
            _ => Vec::new(),
        };
        let mut error = json!({
            "message": self.to_string(),
            "remedy": self.help().map(|help| help.to_string()),
            "faults": faults,
        });
        match self {
            Self::AuditMissing { .. } => error["accepted"] = json!(true),
            Self::OutcomeUnknown { .. } => error["accepted"] = Value::Null,
            Self::NotAccepted { .. } | Self::Rejected { .. } | Self::Signatures { .. } => {
                error["accepted"] = json!(false);
            }
            Self::Conflict(race) => {
                error["accepted"] = json!(false);
                error["current"] = json!({
                    "version": race.current.version,
                    "digest": race.current.digest.to_string(),
                    "changes": changes_json(&race.difference),
                });
            }
            _ => {}
        }
        json!({ "error": error })
    }
}
