//! Daemon as a process of its own.

use std::{
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Running `hawthornquayd`; it is killed when dropped.
pub struct DaemonProcess(Child);

impl DaemonProcess {
    /// Starts `program` with a settings file.
    pub fn start(program: &Path, settings: &Path) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        Self(child)
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).expect("the process runs");
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "still running after {limit:?}");
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
