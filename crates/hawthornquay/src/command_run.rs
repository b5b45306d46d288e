//! Dispatch of the command.

use crate::{
    BundleCommand, CommandOptions, CommandOutput, KeyCommand, command_bundle, command_key,
};

/// Runs a command and returns what it prints.
pub fn run_command(options: &CommandOptions) -> CommandOutput {
    let (as_json, result) = match options {
        CommandOptions::Bundle(command) => match command {
            BundleCommand::Check { json, files } => {
                return command_bundle::check(*json, files);
            }
            BundleCommand::Diff { json, old, new } => {
                (*json, command_bundle::diff(*json, old, new))
            }
            BundleCommand::Sign {
                json,
                key,
                signer,
                predecessor,
                file,
            } => {
                let predecessor = predecessor.as_deref();
                let signed = command_bundle::sign(*json, key, signer, predecessor, file);
                (*json, signed)
            }
            BundleCommand::Show { json, file } => (*json, command_bundle::show(*json, file)),
        },
        CommandOptions::Key(KeyCommand::New { json, new_key }) => {
            (*json, command_key::new_key(*json, new_key))
        }
    };
    result.unwrap_or_else(|error| error.into_output(as_json))
}
