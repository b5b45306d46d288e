//! Interface to the platform's key-value store.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{DomainName, InstanceName};
use hawthornquay_traffic::{Configuration, ListedInstance, ServerListing, StoreRevision};

use crate::ControlError;

/// Configuration and evacuations that the operators have written to the store.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Store revision at which the data was read.
    pub revision: StoreRevision,
    /// Encoded configuration; `None` if none has been written.
    pub configuration: Option<Bytes>,
    /// Failure domains whose backend servers receive no requests.
    pub evacuated: Vec<DomainName>,
}

/// Changes of the configuration and the evacuations after a store revision.
#[derive(Clone, Debug, Default)]
pub struct OperatorStateChanges {
    /// Store revision up to which the changes are complete.
    pub revision: StoreRevision,
    /// Latest encoded configuration, if it changed.
    pub configuration: Option<Bytes>,
    /// Failure domains whose evacuation started (`true`) or ended (`false`), oldest change first.
    pub evacuations: Vec<(DomainName, bool)>,
}

/// Instances that are registered in the store.
#[derive(Clone, Debug, Default)]
pub struct InstanceListing {
    /// Store revision at which the data was read.
    pub revision: StoreRevision,
    /// Registered instances.
    pub instances: Vec<ListedInstance>,
}

/// Registration of this instance, which expires unless it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Store revision at which it was written.
    pub revision: StoreRevision,
    /// Identifier of its lease, which the store may assign again in another era.
    pub lease: u64,
}

/// Client of the platform's store.
///
/// Each method returns within a few seconds after its `wait`, also if the store does not respond.
pub trait ControlPlane: Send + Sync + 'static {
    /// Reads the configuration and all evacuations.
    fn operator_state(&self) -> impl Future<Output = Result<OperatorState, ControlError>> + Send;

    /// Waits for at most `wait` for changes of the configuration and the evacuations after the
    /// revision `after`.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::HistoryLost`] if the store no longer has these changes, or is in
    /// another era than `after`.
    fn operator_state_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorStateChanges, ControlError>> + Send;

    /// Reads the list of backend servers.
    fn servers(&self) -> impl Future<Output = Result<ServerListing, ControlError>> + Send;

    /// Reads the list of registered instances.
    fn instances(&self) -> impl Future<Output = Result<InstanceListing, ControlError>> + Send;

    /// Registers this instance for the time `ttl`.
    fn register(
        &self,
        instance: &ListedInstance,
        ttl: Duration,
    ) -> impl Future<Output = Result<Registration, ControlError>> + Send;

    /// Renews the registration.
    ///
    /// # Errors
    ///
    /// Returns [`ControlError::Lapsed`] if the registration has expired or was written in another
    /// era, since its lease may be another instance's by now; the instance has to register again.
    fn renew(
        &self,
        registration: Registration,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Removes the registration of the instance `name`, unless it has been replaced.
    fn unregister(
        &self,
        name: &InstanceName,
        registration: Registration,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Decodes a configuration from its form in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the document does not have the expected form.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, ControlError>;
}
