//! Arguments of the command. Doc comments here are the text of `--help`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

use crate::InstanceAddress;

/// Text below the list of commands.
///
/// It has no empty lines, because the short help ends at the first empty line.
const FOOTER: &str = "To change the bundle:
 1. fetch it:    bundle show --platform IP:PORT --text > next.ini
 2. edit next.ini and raise `version`
 3. check it:    bundle check next.ini
 4. sign it:     bundle sign --key FILE --signer NAME next.ini
 5. accept it:   bundle accept --platform IP:PORT --who NAME next.ini
 6. watch it:    fleet --platform IP:PORT
 Exit codes: 0 done; 1 refused, or something differs; 2 bad usage or input;
 3 the platform cannot be reached, or the outcome is unknown";

/// Changes the bundle of a hawthornquay fleet and shows the state of the fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(FOOTER), generate(command_options))]
pub enum CommandOptions {
    /// Check, compare, sign, accept and show bundles
    #[bpaf(command("bundle"))]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
    /// Generate keys of callers and signers
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Create certificates for the links between instances
    #[bpaf(command("tls"))]
    Tls(#[bpaf(external(tls_command))] TlsCommand),
    /// Show the bundle version of each instance; exit code 1 if versions differ or a call fails
    #[bpaf(command("fleet"))]
    Fleet {
        /// Write JSON
        json: bool,
        /// Instances to call
        #[bpaf(external(fleet_target))]
        target: FleetTarget,
    },
    /// Show the outcome of a request and its cause
    #[bpaf(command("explain"))]
    Explain {
        /// Write JSON
        json: bool,
        /// Where to find the outcome of the request
        #[bpaf(external(explain_target))]
        target: ExplainTarget,
        /// Identifier of the request: the X-Request-Id of its response
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show who changed the bundle, which orders were sent to engines, and when, the oldest first
    #[bpaf(command("audit"))]
    Audit {
        /// Write JSON
        json: bool,
        /// Address of the platform
        #[bpaf(argument("IP:PORT"))]
        platform: SocketAddr,
    },
}

/// Commands about bundles
#[derive(Clone, Debug, Bpaf)]
pub enum BundleCommand {
    /// Validate bundles and report all of their faults
    #[bpaf(command("check"))]
    Check {
        /// Write JSON
        json: bool,
        /// Files to check
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show the sections that differ; exit code 1 if there are any
    #[bpaf(command("diff"))]
    Diff {
        /// Write JSON
        json: bool,
        /// Old bundle
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// New bundle
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Sign a bundle and add the signature to FILE.signatures
    #[bpaf(command("sign"))]
    Sign {
        /// Write JSON
        json: bool,
        /// File with the signing key
        #[bpaf(argument("FILE"))]
        key: PathBuf,
        /// Name of the signer in the bundle in force
        #[bpaf(argument("NAME"))]
        signer: String,
        /// File with the bundle in force, to check the signer and to count the signatures
        #[bpaf(argument("FILE"))]
        predecessor: Option<PathBuf>,
        /// Bundle to sign
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a bundle in force with the signatures in FILE.signatures
    #[bpaf(command("accept"))]
    Accept {
        /// Write JSON
        json: bool,
        /// Address of the platform
        #[bpaf(argument("IP:PORT"))]
        platform: SocketAddr,
        /// Your name, for the audit record
        #[bpaf(argument("NAME"))]
        who: String,
        /// Settings of a daemon with the [trust] that the first bundle is checked against; by
        /// default, it is checked against its own signers
        #[bpaf(argument("FILE"))]
        first_trust: Option<PathBuf>,
        /// Bundle to accept
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the version, digest and contents of a bundle
    #[bpaf(command("show"))]
    Show {
        /// Write JSON
        json: bool,
        /// Bundle to show
        #[bpaf(external(bundle_source))]
        source: BundleSource,
    },
}

/// Bundle in force, or a file
#[derive(Clone, Debug, Bpaf)]
pub enum BundleSource {
    /// Bundle in force.
    Platform {
        /// Address of the platform, to show the bundle in force
        #[bpaf(argument("IP:PORT"))]
        platform: SocketAddr,
        /// Print the bundle itself, without comments
        text: bool,
    },
    /// Bundle in a file.
    File {
        /// Bundle to show
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Commands about keys
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Generate a key of a caller or of a signer
    #[bpaf(command("new"))]
    New {
        /// Write JSON
        json: bool,
        /// Kind of the key
        #[bpaf(external(new_key))]
        new_key: NewKey,
    },
}

/// Commands about certificates
#[derive(Clone, Debug, Bpaf)]
pub enum TlsCommand {
    /// Create a certificate and key for each additional instance
    ///
    ///
    /// Signs with the authority.key that `tls new` wrote to the directory, and writes NAME.pem and
    /// NAME.key for each instance. Running instances need no change.
    #[bpaf(command("add"))]
    Add {
        /// Write JSON
        json: bool,
        /// Directory with authority.pem and authority.key
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
        /// Name of an instance and the IP address at which other instances reach it
        #[bpaf(positional("NAME=IP"), some("name at least one instance, as NAME=IP"))]
        instances: Vec<InstanceAddress>,
    },
    /// Create an authority, and a certificate and key for each instance
    ///
    ///
    /// Writes authority.pem and authority.key, and NAME.pem and NAME.key for each instance. Only
    /// `tls add` needs authority.key: keep it away from the instances.
    #[bpaf(command("new"))]
    New {
        /// Write JSON
        json: bool,
        /// Directory for the files; created if it does not exist
        #[bpaf(argument("DIR"))]
        out: PathBuf,
        /// Name of an instance and the IP address at which other instances reach it
        #[bpaf(positional("NAME=IP"), some("name at least one instance, as NAME=IP"))]
        instances: Vec<InstanceAddress>,
    },
}

/// Instances to call: all that the platform lists, or those given
#[derive(Clone, Debug, Bpaf)]
pub enum FleetTarget {
    /// Every instance that the platform lists.
    Listed {
        /// Address of the platform, to call each instance that it lists
        #[bpaf(argument("IP:PORT"))]
        platform: SocketAddr,
    },
    /// Instances at the given addresses.
    Named {
        /// Operators' address of an instance
        #[bpaf(
            positional("IP:PORT"),
            some("name --platform, or the operators' address of at least one instance")
        )]
        instances: Vec<SocketAddr>,
    },
}

/// Source of the outcome of a request: an instance or logs
#[derive(Clone, Debug, Bpaf)]
pub enum ExplainTarget {
    /// Instance that the identifier names, found in the platform's list.
    Listed {
        /// Address of the platform, to find the instance that the ID names
        #[bpaf(argument("IP:PORT"))]
        platform: SocketAddr,
    },
    /// Logs of instances of the gateway for routed services.
    Logged {
        /// Log of an instance, in a file with the name of the instance; may be repeated
        #[bpaf(
            argument("FILE"),
            some("name --platform, the operators' address of an instance, or at least one log")
        )]
        log: Vec<PathBuf>,
    },
    /// Instance at the given address.
    Named {
        /// Operators' address of the instance
        #[bpaf(positional("IP:PORT"))]
        instance: SocketAddr,
    },
}

/// Key of a caller or of a signer
#[derive(Clone, Debug, Bpaf)]
pub enum NewKey {
    /// Key of a caller.
    Caller {
        /// File with the bundle for which the key is generated; it is not changed
        #[bpaf(argument("FILE"))]
        bundle: PathBuf,
        /// Organisation of the key
        #[bpaf(argument("NAME"))]
        organisation: String,
        /// Name of the key in the bundle
        #[bpaf(argument("NAME"))]
        name: String,
    },
    /// Key of an operator.
    Signer {
        /// Name of the signer in the bundle
        #[bpaf(argument("NAME"))]
        signer: String,
        /// Path for the signing key; the file must not exist yet
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
}
