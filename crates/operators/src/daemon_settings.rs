//! Settings of a daemon.

use std::net::SocketAddr;

use crate::{
    Faults, InstanceSettings, LogSettings, TlsSettings, Trust, fault_collector::FaultCollector,
    ini_text::IniText, settings_reader::read_settings,
};

/// Checked settings of `hawthornquayd`.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The instance itself.
    pub instance: InstanceSettings,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Files for mutual TLS between instances.
    pub tls: TlsSettings,
    /// Signers that a fresh process trusts.
    pub trust: Trust,
    /// Logging.
    pub log: LogSettings,
}

impl DaemonSettings {
    /// Reads and checks settings; `file` names the text in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file, text);
        let ini = IniText::read(text, &mut faults);
        let settings = read_settings(&ini, &mut faults);
        faults.finish(settings)
    }
}
