//! Failure of the command.

use std::{net::SocketAddr, path::PathBuf};

use hawthornquay_operators::{AcceptConflict, AcceptError, Faults, LoadError, SignatureError};
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde_json::{Value, json};

use crate::{
    AuthorityError, CommandExit, CommandOutput, InstanceError, ParsedRequestId,
    command_output::changes_json,
};

/// Reason why a command did not do what was asked.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// The bundle is in force, but its audit record is missing.
    #[error("{source}")]
    #[diagnostic(help("run the same command again; it writes only what is missing"))]
    AuditMissing {
        /// Reason.
        source: AcceptError,
    },
    /// Certificates cannot be made.
    #[error("cannot make certificates with the authority in {}: {source}", directory.display())]
    #[diagnostic(help(
        "pass a directory in which `authority.pem` and `authority.key` are as `tls new` wrote them"
    ))]
    Authority {
        /// Directory of the authority.
        directory: PathBuf,
        /// Reason.
        source: AuthorityError,
    },
    /// Two instances have the same name, or one has the name of the authority's file.
    #[error("the name `{name}` is taken by another certificate")]
    #[diagnostic(help("give each instance a name of its own, and none the name `authority`"))]
    DuplicateInstance {
        /// The name.
        name: String,
    },
    /// No line of the logs names the request.
    #[error("no line of {logs} logs names request `{id}`")]
    #[diagnostic(help(
        "pass the logs of all instances of the time; `suppressed` in them counts lines left out"
    ))]
    RequestNotLogged {
        /// Request.
        id: String,
        /// Logs that were read.
        logs: usize,
    },
    /// A file that would be written exists.
    #[error("{} exists already; nothing was written", path.display())]
    #[diagnostic(help("choose another directory, or move the file away"))]
    FileExists {
        /// Path of the file.
        path: PathBuf,
    },
    /// A bundle has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] Box<Faults>),
    /// The authority's key is not where its certificate is.
    #[error("{} does not exist, so the authority cannot sign", path.display())]
    #[diagnostic(help(
        "put the key that `tls new` wrote there; if it is lost, make new certificates for all \
         instances with `hawthornquay tls new`"
    ))]
    NoAuthorityKey {
        /// Path of the key.
        path: PathBuf,
    },
    /// The system gives no random bytes.
    #[error("the system gives no random bytes: {0}")]
    #[diagnostic(help("try again, or use another machine"))]
    NoRandomBytes(#[source] std::io::Error),
    /// The key is not the one that the predecessor names for the signer.
    #[error("the key is not the one that {} names for signer `{signer}`", predecessor.display())]
    #[diagnostic(help("pass the key file of `{signer}`, or another `--signer`"))]
    WrongSignerKey {
        /// Name of the signer.
        signer: String,
        /// File of the predecessor.
        predecessor: PathBuf,
    },
    /// An instance gave no usable answer.
    #[error("the instance at {address} gave no answer: {source}")]
    #[diagnostic(help("check that this is the operators' address of a running instance"))]
    InstanceUnavailable {
        /// Address of the instance.
        address: SocketAddr,
        /// Reason.
        source: InstanceError,
    },
    /// The text is no identifier of a request.
    #[error("`{text}` is no identifier of a request")]
    #[diagnostic(help(
        "pass the value of the answer's X-Request-Id: <instance>-<incarnation>-<sequence>"
    ))]
    InvalidRequestId {
        /// The text.
        text: String,
    },
    /// Another bundle came first.
    #[error(
        "version {} with digest {} is in force already; the bundle was not accepted",
        .0.current.version,
        .0.current.digest
    )]
    #[diagnostic(help(
        "apply your change to the bundle in force and raise `version`; the difference leads from \
         your bundle to the one in force"
    ))]
    Conflict(Box<AcceptConflict>),
    /// The platform refused a call or gave no answer before anything was accepted.
    #[error(
        "the bundle was not accepted; the platform at {address} refused the call or gave no \
         answer: {source}"
    )]
    #[diagnostic(help(
        "check the address; if the platform has an outage or is over its rate, run the command \
         again later"
    ))]
    NotAccepted {
        /// Address of the platform.
        address: SocketAddr,
        /// Reason.
        source: AcceptError,
    },
    /// A signature in a file has the wrong form.
    #[error("{}: the signature of `{signer}` is malformed", path.display())]
    #[diagnostic(help("remove the file, and let its signers sign the bundle again"))]
    MalformedSignature {
        /// File of signatures.
        path: PathBuf,
        /// Name of the signer.
        signer: String,
    },
    /// No bundle was ever accepted.
    #[error("the platform at {address} holds no bundle yet")]
    #[diagnostic(help("put a signed bundle in force with `hawthornquay bundle accept`"))]
    NoBundle {
        /// Address of the platform.
        address: SocketAddr,
    },
    /// A bundle has no file of signatures.
    #[error("{} has no signatures: {} does not exist", bundle.display(), path.display())]
    #[diagnostic(help(
        "sign it with `hawthornquay bundle sign --key FILE --signer NAME {}`",
        bundle.display()
    ))]
    NotSigned {
        /// File of the bundle.
        bundle: PathBuf,
        /// File of signatures that was looked for.
        path: PathBuf,
    },
    /// The platform lists no instance with the name.
    #[error("the platform at {address} lists no instance `{name}`")]
    #[diagnostic(help(
        "an instance that has ended keeps no requests; if it runs, pass its operators' address in \
         place of --platform"
    ))]
    InstanceNotListed {
        /// Address of the platform.
        address: SocketAddr,
        /// Name of the instance.
        name: String,
    },
    /// The signatures are of another text than the bundle's.
    #[error("{} holds signatures of another text than {}", path.display(), bundle.display())]
    #[diagnostic(help(
        "the bundle was changed after it was signed; let its signers sign it again"
    ))]
    SignaturesOfOtherBundle {
        /// File of the bundle.
        bundle: PathBuf,
        /// File of signatures.
        path: PathBuf,
    },
    /// The platform did not tell whether the bundle was accepted.
    #[error("{source} (the answers of the platform at {address} were lost)")]
    #[diagnostic(help(
        "run the same command again: it has no further effect if the bundle is in force"
    ))]
    OutcomeUnknown {
        /// Address of the platform.
        address: SocketAddr,
        /// Reason.
        source: AcceptError,
    },
    /// The platform gave no usable answer to a read.
    #[error("the platform at {address} gave no answer: {source}")]
    #[diagnostic(help(
        "check the address; if the platform has an outage or is over its rate, run the command \
         again later"
    ))]
    PlatformUnavailable {
        /// Address of the platform.
        address: SocketAddr,
        /// Reason.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions"))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: std::io::Error,
    },
    /// The bundle was refused.
    #[error("the bundle was not accepted: {source}")]
    #[diagnostic(help("nothing was changed; correct the cause and run the command again"))]
    Rejected {
        /// Reason.
        source: AcceptError,
    },
    /// The instance does not know the request.
    #[error(
        "the instance at {address} does not know request {}; the identifier names `{}`, which may \
         have restarted or forgotten the request since",
        id.text,
        id.instance
    )]
    #[diagnostic(help(
        "check the identifier and the address; an instance remembers its latest requests until it \
         ends"
    ))]
    RequestUnknown {
        /// Address of the instance.
        address: SocketAddr,
        /// Request.
        id: ParsedRequestId,
    },
    /// A file of signatures is malformed.
    #[error("{} is no file of signatures: {source}", path.display())]
    #[diagnostic(help("remove the file and sign again"))]
    SignatureFile {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: serde_json::Error,
    },
    /// The signatures in a file are not enough.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "let signers that the bundle in force names sign with `hawthornquay bundle sign`, and pass \
         that bundle as `--predecessor` to count the signatures"
    ))]
    Signatures {
        /// File of signatures.
        path: PathBuf,
        /// Reason.
        source: SignatureError,
    },
    /// A file holds no signing key.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("pass a file that `hawthornquay key new --signer` wrote"))]
    SigningKey {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
        source: SignatureError,
    },
    /// The runtime for calls to the platform cannot be started.
    #[error("cannot start: {0}")]
    #[diagnostic(help("check the limits of the system on open files and threads"))]
    RuntimeStart(#[source] std::io::Error),
    /// The bundle in the store cannot be used.
    #[error("the platform at {address} holds a bundle that cannot be used: {source}")]
    #[diagnostic(help(
        "running instances keep the bundle that they have; restore the named value in the store"
    ))]
    StoredBundle {
        /// Address of the platform.
        address: SocketAddr,
        /// Reason.
        source: LoadError,
    },
    /// A name has characters that a bundle does not allow.
    #[error("`{name}` is no name")]
    #[diagnostic(help("use letters, digits and `-_.`"))]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A key with this name is in the bundle already.
    #[error("{} already has a key `{name}`", path.display())]
    #[diagnostic(help("choose another `--name`"))]
    KeyExists {
        /// File of the bundle.
        path: PathBuf,
        /// Name of the key.
        name: String,
    },
    /// The bundle has no such organisation.
    #[error("{} has no organisation `{organisation}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownOrganisation {
        /// File of the bundle.
        path: PathBuf,
        /// Name that was asked for.
        organisation: String,
        /// Names that the bundle has.
        known: String,
    },
    /// The predecessor has no such signer.
    #[error("{} has no signer `{signer}`", path.display())]
    #[diagnostic(help("use one of: {known}"))]
    UnknownSigner {
        /// File of the predecessor.
        path: PathBuf,
        /// Name that was asked for.
        signer: String,
        /// Names that the predecessor has.
        known: String,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    #[diagnostic(help("check the path and its permissions; a key file must not exist yet"))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Reason.
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
