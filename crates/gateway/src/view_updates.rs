//! Updates of the view, the copy of the store's data that this instance uses.

use std::sync::Arc;

use bytes::Bytes;
use hawthornquay_decisions::{DomainName, MonotonicTime};
use hawthornquay_http::ServerLimits;
use hawthornquay_traffic::{
    Configuration, InstanceChanges, InstanceList, ServerChanges, ServerListing, StoreRevision,
};

use crate::{
    ControlPlane, Gateway, HeaderMapping, InstanceListing, OperatorState, OperatorStateChanges,
    configuration_document::ConfigurationDocument, gateway::now, status_notices::is_unchanged,
};

/// Buffer space for the request line, in addition to the limit for headers.
const MAX_REQUEST_LINE_BYTES: usize = 8 << 10;

impl<C: ControlPlane, H: HeaderMapping> Gateway<C, H> {
    /// Applies the configuration and all evacuations, read at `read_at`; `source` is for the log.
    pub(crate) fn apply_operator_state(
        &self,
        read_at: MonotonicTime,
        state: OperatorState,
        source: &str,
    ) {
        if let Some(document) = state.configuration {
            self.install_configuration(document, source);
        }
        self.apply_evacuated(state.revision, state.evacuated, source);
        self.operators.lock().confirm(state.revision, read_at);
    }

    /// Applies changes of the configuration and the evacuations, read at `read_at`.
    pub(crate) fn apply_operator_state_changes(
        &self,
        read_at: MonotonicTime,
        changes: OperatorStateChanges,
    ) {
        if let Some(document) = changes.configuration {
            self.install_configuration(document, "store");
        }
        let mut evacuated = self.operators.lock().stored_evacuations().to_vec();
        for (domain, is_evacuated) in changes.evacuations {
            evacuated.retain(|name| *name != domain);
            if is_evacuated {
                evacuated.push(domain);
            }
        }
        self.apply_evacuated(changes.revision, evacuated, "store");
        self.operators.lock().confirm(changes.revision, read_at);
    }

    /// Activates a configuration if its version is higher than the active one.
    pub(crate) fn install_configuration(&self, document: Bytes, source: &str) {
        let configuration = match self.control.read_configuration(&document) {
            Ok(configuration) => configuration,
            Err(error) => {
                slog::error!(self.log.rollout, "invalid configuration; keeping the active one";
                    "source" => source, "error" => %error);
                return;
            }
        };
        let (version, routes) = (configuration.version, configuration.routes.len());
        let before = {
            let mut operators = self.operators.lock();
            let before = operators.version();
            if !operators.install(configuration) {
                return;
            }
            // No request may be placed by the configuration before it applies to the servers.
            if let Some(configuration) = operators.configuration() {
                self.apply_configuration(configuration);
            }
            before
        };
        *self.configuration_document.lock() = ConfigurationDocument::new(document);
        slog::info!(self.log.rollout, "configuration in force";
            "version" => version, "before" => before, "routes" => routes, "source" => source);
        self.metrics.set_configuration_version(version);
        self.view_changed.notify_one();
    }

    /// Applies a list of backend servers that was read at `read_at`.
    pub(crate) fn apply_servers(
        &self,
        read_at: MonotonicTime,
        listing: &ServerListing,
        source: &str,
    ) {
        let (changes, changed, count) = {
            let mut servers = self.servers.lock();
            let before = servers.changed_revision();
            let changes = servers.apply_listing(now(), read_at, listing);
            (changes, servers.changed_revision() > before, servers.len())
        };
        self.report_server_changes(&changes, changed, count, listing.revision, source);
    }

    /// Applies changes of the list of backend servers; the resulting list was read at `read_at`.
    pub(crate) fn apply_server_changes(
        &self,
        read_at: MonotonicTime,
        changes: &ServerChanges,
        source: &str,
    ) {
        let (applied, changed, count) = {
            let mut servers = self.servers.lock();
            let before = servers.changed_revision();
            let applied = servers.apply_changes(now(), read_at, changes);
            (applied, servers.changed_revision() > before, servers.len())
        };
        self.report_server_changes(&applied, changed, count, changes.revision, source);
    }

    /// Logs changes of the list of backend servers, and passes them on if this instance leads.
    fn report_server_changes(
        &self,
        changes: &[String],
        changed: bool,
        count: usize,
        revision: StoreRevision,
        source: &str,
    ) {
        if !changes.is_empty() {
            slog::info!(self.log.routing, "backend servers changed";
                "changes" => changes.join(", "), "revision" => %revision, "source" => source);
            self.metrics.set_backend_servers(count);
        }
        if changed || !changes.is_empty() {
            self.view_changed.notify_one();
        }
    }

    /// Applies a list of instances; `read_at` is the time at which it was read from the store, if known.
    pub(crate) fn apply_instances(
        &self,
        read_at: Option<MonotonicTime>,
        listing: InstanceListing,
        source: &str,
    ) {
        let revision = listing.revision;
        let changed = {
            let mut instances = self.instances.lock();
            let changed = instances.apply_listing(now(), revision, listing.instances);
            if let Some(read_at) = read_at {
                instances.confirm(revision, read_at);
            }
            self.record_membership(&instances, revision);
            changed
        };
        if changed {
            self.report_instances(revision, source);
        }
    }

    /// Applies changes of the list of instances.
    pub(crate) fn apply_instance_changes(&self, changes: &InstanceChanges, source: &str) {
        let changed = {
            let mut instances = self.instances.lock();
            let changed = instances.apply_changes(now(), changes);
            self.record_membership(&instances, changes.revision);
            changed
        };
        if changed {
            self.report_instances(changes.revision, source);
        }
    }

    /// Records whether the list of `revision` contains this instance, unless the list was ignored.
    fn record_membership(&self, instances: &InstanceList, revision: StoreRevision) {
        if instances.revision() == revision {
            let is_listed = instances.stored().any(|one| one.id == self.id);
            self.membership.lock().record_list(now(), is_listed);
        }
    }

    /// Compares the list of instances with that of another instance, whose last change was at
    /// `changed` and which was current at `read_at`, if known; returns whether this instance has to ask
    /// for the other list.
    pub(crate) fn compare_instances(
        &self,
        time: MonotonicTime,
        theirs: StoreRevision,
        changed: StoreRevision,
        read_at: Option<MonotonicTime>,
    ) -> bool {
        let mut instances = self.instances.lock();
        let own = instances.revision();
        if !changed.is_absent() && own >= changed && theirs >= instances.changed_revision() {
            self.membership.lock().confirm_list(time);
        }
        if is_unchanged(own, theirs, changed) {
            instances.confirm_revision(theirs);
        }
        if let Some(read_at) = read_at {
            instances.confirm(theirs, read_at);
        }
        theirs > instances.revision()
    }

    /// Logs the instances, and passes their changes on if this instance leads.
    fn report_instances(&self, revision: StoreRevision, source: &str) {
        let names: Vec<String> = {
            let instances = self.instances.lock();
            let names = instances.all().iter().map(|one| one.id.name.to_string());
            names.collect()
        };
        slog::info!(self.log.membership, "instances changed";
            "instances" => names.join(", "), "revision" => %revision, "source" => source);
        self.view_changed.notify_one();
    }

    /// Returns the active configuration.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.operators.lock().configuration().cloned()
    }

    /// Applies the evacuated failure domains at a store revision, unless a newer one is known.
    pub(crate) fn apply_evacuated(
        &self,
        revision: StoreRevision,
        evacuated: Vec<DomainName>,
        source: &str,
    ) {
        let changed = self
            .operators
            .lock()
            .set_evacuated(now(), revision, &evacuated);
        if changed {
            self.apply_evacuations(source);
        }
    }

    /// Applies the evacuations in effect to the backend servers.
    fn apply_evacuations(&self, source: &str) {
        let (evacuated, revision) = {
            let operators = self.operators.lock();
            (operators.evacuated(), operators.revision())
        };
        let names: Vec<&str> = evacuated.iter().map(DomainName::as_str).collect();
        slog::info!(self.log.rollout, "evacuated failure domains changed";
            "evacuated" => names.join(", "), "revision" => %revision, "source" => source);
        self.servers.lock().set_evacuated(now(), &evacuated);
        self.view_changed.notify_one();
    }

    /// Ends the use of entries that the store has lost and that were not written again within the
    /// grace period.
    pub(crate) fn end_grace(&self) {
        if self.operators.lock().end_grace(now()) {
            self.apply_evacuations("grace period");
        }
        let revision = {
            let mut instances = self.instances.lock();
            instances.end_grace(now()).then(|| instances.revision())
        };
        if let Some(revision) = revision {
            self.report_instances(revision, "grace period");
        }
    }

    /// Applies a configuration to the backend servers, the rate limits and the limits for callers.
    fn apply_configuration(&self, configuration: &Configuration) {
        self.servers.lock().configure(configuration);
        self.limits.lock().configure(now(), configuration);
        let limits = ServerLimits {
            // The header time-out also runs while a connection is idle between requests.
            header_timeout: configuration
                .limits
                .idle_timeout
                .max(configuration.limits.header_timeout),
            max_buffer_bytes: configuration.limits.max_header_bytes + MAX_REQUEST_LINE_BYTES,
            ..*self.caller_limits.borrow()
        };
        self.caller_limits.send_replace(limits);
    }
}
