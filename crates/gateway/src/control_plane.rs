//! Edge to the platform's store.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::DomainName;
use hawthornquay_traffic::{Configuration, RoutedInstance, ServerListing};

use crate::ControlError;

/// Orders of the operators, as the store holds them.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Revision of the store.
    pub revision: u64,
    /// Configuration as it is stored; `None` before the first.
    pub configuration: Option<Bytes>,
    /// Failure domains whose backend servers get nothing.
    pub evacuated: Vec<DomainName>,
}

/// Changes of the operators' orders after a revision.
#[derive(Clone, Debug, Default)]
pub struct OperatorStateChanges {
    /// Revision of the store up to which these are all changes.
    pub revision: u64,
    /// Newest configuration as it is stored, if it changed.
    pub configuration: Option<Bytes>,
    /// Failure domains that were evacuated (`true`) or taken back, in their order.
    pub evacuations: Vec<(DomainName, bool)>,
}

/// Instances of the fleet, as the store lists them.
#[derive(Clone, Debug, Default)]
pub struct InstanceListing {
    /// Revision of the store.
    pub revision: u64,
    /// Instances.
    pub instances: Vec<RoutedInstance>,
}

/// Entry of this instance in the store, which lapses unless it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration(pub u64);

/// Calls to the platform's store.
///
/// Each call ends within a few seconds, whatever the store does.
pub trait ControlPlane: Send + Sync + 'static {
    /// Reads all orders of the operators.
    fn operator_state(&self) -> impl Future<Output = Result<OperatorState, ControlError>> + Send;

    /// Waits for at most `wait` for changes of the orders after a revision.
    fn operator_state_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorStateChanges, ControlError>> + Send;

    /// Reads the list of backend servers.
    fn servers(&self) -> impl Future<Output = Result<ServerListing, ControlError>> + Send;

    /// Reads the list of instances.
    fn instances(&self) -> impl Future<Output = Result<InstanceListing, ControlError>> + Send;

    /// Enters this instance into the list of instances for `ttl`.
    fn register(
        &self,
        instance: &RoutedInstance,
        ttl: Duration,
    ) -> impl Future<Output = Result<Registration, ControlError>> + Send;

    /// Renews the entry; [`ControlError::Lapsed`] means that it has to be made again.
    fn renew(&self, entry: Registration) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Removes the entry.
    fn unregister(
        &self,
        entry: Registration,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Reads a configuration as the store holds it.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be understood.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, ControlError>;
}
