//! Settings of the machine that a process runs on.

/// Memory of a machine whose settings state none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Resources of the machine that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSettings {
    /// Memory in MB (1,000,000 bytes).
    pub memory_mb: u64,
    /// Number of file descriptors; `None` for the process's own limit of open files.
    pub descriptors: Option<u64>,
}

impl MachineSettings {
    /// Returns the memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        let bytes = self.memory_mb.saturating_mul(1_000_000);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: None,
        }
    }
}
