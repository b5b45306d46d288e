//! Local end of links.

use std::sync::Arc;

use hawthornquay_decisions::InstanceId;
use tokio::sync::Semaphore;

use crate::{
    Hello, LinkCounters, LinkSecurity, LinkSettings, MAX_FORWARDED_BODY_BYTES,
    MAX_PARTIAL_BODIES_BYTES,
};

/// Identity, security, settings and counters that all links of a process share.
#[derive(Clone)]
pub struct LocalInstance {
    pub(crate) id: InstanceId,
    pub(crate) security: LinkSecurity,
    pub(crate) settings: LinkSettings,
    pub(crate) counters: Arc<LinkCounters>,
    /// Memory for bodies that arrive in several frames, in bytes.
    pub(crate) body_memory: Arc<Semaphore>,
}

impl LocalInstance {
    /// Creates a local end with default settings and new counters.
    pub fn new(id: InstanceId, security: impl Into<LinkSecurity>) -> Self {
        Self {
            id,
            security: security.into(),
            settings: LinkSettings::default(),
            counters: Arc::default(),
            body_memory: Arc::new(Semaphore::new(MAX_PARTIAL_BODIES_BYTES)),
        }
    }

    /// Replaces the settings.
    #[must_use]
    pub const fn with_settings(mut self, settings: LinkSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Returns the identity of the process.
    pub const fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns the shared counters.
    pub fn counters(&self) -> Arc<LinkCounters> {
        self.counters.clone()
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            name: self.id.name.to_string(),
            incarnation: self.id.incarnation.0,
            max_body_bytes: MAX_FORWARDED_BODY_BYTES as u64,
        }
    }
}
