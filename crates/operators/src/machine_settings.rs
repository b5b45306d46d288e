//! Memory and descriptors of the machine that an instance runs on.

use crate::{
    fault_collector::FaultCollector, ini_section::IniSection, section_reader::SectionReader,
};

/// Memory of a machine whose settings state none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Settings of the section `[machine]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSettings {
    /// Memory in MB (2^20 bytes).
    pub memory_mb: u64,
    /// File descriptors; `None` means the open-file limit of the process.
    pub descriptors: Option<u64>,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: None,
        }
    }
}

/// Parses the section `[machine]`. Fractions are rounded down, and an empty field, a zero or a
/// missing field means the default.
///
/// Unknown fields are ignored: the platform may state further limits of a machine.
pub(crate) fn read_machine(
    section: &IniSection,
    faults: &mut FaultCollector,
) -> Option<MachineSettings> {
    let mut reader = SectionReader::new(section);
    let memory_mb = reader.decimal_or("memory_mb", 0.0, faults);
    let descriptors = reader.decimal_or("descriptors", 0.0, faults);
    let (memory_mb, descriptors) = (memory_mb? as u64, descriptors? as u64);
    let default = MachineSettings::default();
    Some(MachineSettings {
        memory_mb: if memory_mb == 0 {
            default.memory_mb
        } else {
            memory_mb
        },
        descriptors: (descriptors > 0).then_some(descriptors),
    })
}
