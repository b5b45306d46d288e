//! Daemon of an entry instance.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hawthornquay::{Daemon, DaemonExit, read_settings, start_logs};
use tokio::signal::unix::{SignalKind, signal};

/// Entry instance of hawthornquay.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(exit) => exit.report(),
    }
}

#[tokio::main]
async fn run(options: &Options) -> Result<(), DaemonExit> {
    let settings = read_settings(&options.settings)?;
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    let logs = start_logs(&settings.log, Box::new(std::io::stderr()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings, logs).await?;
    println!("listening {}", daemon.node().settings.instance.callers);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
