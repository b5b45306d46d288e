//! Wiring of the daemon and the operators' command.

mod command_bundle;
mod command_error;
mod command_exit;
mod command_files;
mod command_key;
mod command_options;
mod command_output;
mod command_run;
mod command_signature_file;

pub use {
    command_error::CommandError,
    command_exit::CommandExit,
    command_options::{BundleCommand, CommandOptions, KeyCommand, NewKey, command_options},
    command_output::CommandOutput,
    command_run::run_command,
    command_signature_file::SignatureFile,
};
