//! Parses the settings of the machine.

use crate::{
    MachineSettings, fault_collector::FaultCollector, ini_section::IniSection,
    section_reader::SectionReader,
};

/// Parses the section `[machine]`.
///
/// All fields are optional, fractions are rounded down, and other fields are ignored: platforms fill
/// in the section and may add fields.
pub(crate) fn read_machine(
    section: &IniSection,
    faults: &mut FaultCollector,
) -> Option<MachineSettings> {
    let mut reader = SectionReader::new(section);
    let memory_mb = read_amount(&mut reader, "memory_mb", faults);
    let descriptors = read_amount(&mut reader, "descriptors", faults);
    Some(MachineSettings {
        memory_mb: memory_mb?.unwrap_or(MachineSettings::default().memory_mb),
        descriptors: descriptors?,
    })
}

/// Returns an amount of at least 1, rounded down; a missing or empty field has none.
fn read_amount(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    faults: &mut FaultCollector,
) -> Option<Option<u64>> {
    let field = reader.optional(name, faults);
    let Some(field) = field.filter(|field| !field.value.is_empty()) else {
        return Some(None);
    };
    let value = field
        .value
        .parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value >= 1.0);
    if value.is_none() {
        faults.add(
            field.line,
            format!("`{name}` is `{}`, not a number of at least 1", field.value),
            format!("write `{name}` as a number of at least 1, or leave it out"),
        );
    }
    value.map(|value| Some(value as u64))
}
