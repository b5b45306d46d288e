//! Daemon in a process of its own.

use std::{
    fs,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Running `hawthornquayd`, which is killed on drop.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }

    /// Returns the peak of the resident memory in bytes; `None` if the process has exited.
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Returns the number of open file descriptors; `None` if the process has exited.
    pub fn open_descriptors(&self) -> Option<usize> {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.id())).ok()?;
        Some(entries.count())
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).expect("the process is running");
    }

    /// Waits until the process has exited and returns its status.
    ///
    /// # Panics
    ///
    /// Panics if the process is still running after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> ExitStatus {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "still running after {limit:?}");
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
