//! Dispatch of the parsed arguments to the commands.

use crate::{
    BundleCommand, BundleSource, CommandError, CommandOptions, CommandOutput, KeyCommand,
    TlsCommand, command_accept, command_audit, command_bundle, command_explain, command_fleet,
    command_key, command_tls,
};

/// Runs a command and returns its output and exit status.
pub fn run_command(options: &CommandOptions) -> CommandOutput {
    let (as_json, result) = match options {
        CommandOptions::Audit { json, platform } => (*json, command_audit::audit(*json, *platform)),
        CommandOptions::Bundle(command) => run_bundle_command(command),
        CommandOptions::Explain { json, target, id } => {
            (*json, command_explain::explain(*json, target, id))
        }
        CommandOptions::Fleet { json, target } => (*json, command_fleet::fleet(*json, target)),
        CommandOptions::Key(KeyCommand::New { json, new_key }) => {
            (*json, command_key::new_key(*json, new_key))
        }
        CommandOptions::Tls(TlsCommand::Add {
            json,
            dir,
            instances,
        }) => (*json, command_tls::add_certificates(*json, dir, instances)),
        CommandOptions::Tls(TlsCommand::New {
            json,
            out,
            instances,
        }) => (*json, command_tls::new_certificates(*json, out, instances)),
    };
    result.unwrap_or_else(|error| error.into_output(as_json))
}

fn run_bundle_command(command: &BundleCommand) -> (bool, Result<CommandOutput, CommandError>) {
    match command {
        BundleCommand::Accept {
            json,
            platform,
            who,
            first_trust,
            file,
        } => {
            let first_trust = first_trust.as_deref();
            let accepted = command_accept::accept(*json, *platform, who, first_trust, file);
            (*json, accepted)
        }
        BundleCommand::Check { json, files } => (*json, Ok(command_bundle::check(*json, files))),
        BundleCommand::Diff { json, old, new } => (*json, command_bundle::diff(*json, old, new)),
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
        BundleCommand::Show { json, source } => match source {
            BundleSource::File { file } => (*json, command_bundle::show(*json, file)),
            BundleSource::Platform { platform, text } => (
                *json,
                command_bundle::show_in_force(*json, *platform, *text),
            ),
        },
    }
}
