//! Options of the command.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks, compares and signs bundles, and draws keys.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command_options))]
pub enum CommandOptions {
    /// Bundles
    #[bpaf(command("bundle"))]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
    /// Keys of callers and operators
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
}

/// Commands about bundles.
#[derive(Clone, Debug, Bpaf)]
pub enum BundleCommand {
    /// Report every fault of bundles
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
        /// Name that the predecessor gives the signer
        #[bpaf(argument("NAME"))]
        signer: String,
        /// Bundle in force, to check the signer and to count the signatures
        #[bpaf(argument("FILE"))]
        predecessor: Option<PathBuf>,
        /// Bundle to sign
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the version, digest and contents of a bundle
    #[bpaf(command("show"))]
    Show {
        /// Write JSON
        json: bool,
        /// Bundle to show
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Commands about keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Draw a caller's key (--bundle, --organisation, --name) or a signer's key (--signer, --out)
    #[bpaf(command("new"))]
    New {
        /// Write JSON
        json: bool,
        /// Kind of the key
        #[bpaf(external(new_key))]
        new_key: NewKey,
    },
}

/// Key to draw.
#[derive(Clone, Debug, Bpaf)]
pub enum NewKey {
    /// Key of a caller.
    Caller {
        /// Bundle whose salt the digest takes
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
        /// Name of the operator in the bundle
        #[bpaf(argument("NAME"))]
        signer: String,
        /// New file for the signing key
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
}
