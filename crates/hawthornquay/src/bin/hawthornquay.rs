//! Command-line program for operators.

use std::process::ExitCode;

use hawthornquay::{CommandExit, command_options, run_command};

/// Width at which usage messages are wrapped, in columns.
const USAGE_COLUMNS: usize = 100;

fn main() -> ExitCode {
    match command_options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => {
            let output = run_command(&options);
            print!("{}", output.stdout);
            eprint!("{}", output.stderr);
            output.exit.into()
        }
        Err(failure) => {
            failure.print_message(USAGE_COLUMNS);
            match failure.exit_code() {
                0 => CommandExit::Done.into(),
                _ => CommandExit::BadInput.into(),
            }
        }
    }
}
