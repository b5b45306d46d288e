//! Settings of a daemon.

use std::net::SocketAddr;

use crate::{
    Faults, InstanceSettings, LogSettings, MachineSettings, TlsSettings, Trust,
    fault_collector::FaultCollector, ini_text::IniText, settings_reader::read_settings,
};

/// Validated settings of `hawthornquayd`.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Names and listen addresses of the instance.
    pub instance: InstanceSettings,
    /// Address of the platform with the key-value store.
    pub platform: SocketAddr,
    /// Files for mutual TLS between instances.
    pub tls: TlsSettings,
    /// Signers that an instance without a bundle trusts.
    pub trust: Trust,
    /// Log format and levels.
    pub log: LogSettings,
    /// Memory and file descriptors of the machine.
    pub machine: MachineSettings,
}

impl DaemonSettings {
    /// Parses and validates settings. `file` is the file name in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file, text);
        let ini = IniText::read(text, &mut faults);
        let settings = read_settings(&ini, &mut faults);
        faults.into_result(settings)
    }
}
