//! Exchange of views, the copies of the store's data, between instances.

use std::sync::Arc;

use bytes::Bytes;
use hawthornquay_decisions::{DomainName, InstanceId};
use hawthornquay_instances::{Notice, PeerAddress, ViewRequest, ViewUpdate};
use hawthornquay_traffic::{ListedInstance, ServerListing, StoreRevision};

use crate::{
    ControlPlane, Gateway, HeaderMapping, InstanceListing,
    configuration_document::decompress,
    gateway::now,
    wire_views::{
        backend_entry, cold_server, instance_changes, instance_entry, listed_instance, millis,
        server_changes, server_record, time_before, wire_instance_changes, wire_server_changes,
    },
};

/// Returns the parts of the view that are newer than the versions in `request`.
pub(crate) fn newer_view<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    request: &ViewRequest,
) -> ViewUpdate {
    let time = now();
    let mut update = ViewUpdate::default();
    {
        let operators = gateway.operators.lock();
        let revision = operators.revision();
        if revision > StoreRevision::new(request.operator_era, request.operator_revision) {
            update.operator_era = revision.era;
            update.operator_revision = revision.revision;
            update.operator_age_ms = operators.age(time).map_or(u64::MAX, millis);
            update.evacuated = operators
                .stored_evacuations()
                .iter()
                .map(ToString::to_string)
                .collect();
        }
        update.configuration_version = operators.version();
    }
    if update.configuration_version > request.configuration_version {
        let document = gateway.configuration_document.lock().clone();
        update.compressed_configuration = match request.accepts_compressed {
            true => document.compressed(),
            false => Bytes::new(),
        };
        if update.compressed_configuration.is_empty() {
            update.configuration = document.plain();
        }
    }
    add_servers(gateway, request, &mut update);
    add_instances(gateway, request, &mut update);
    update
}

/// Adds the list of backend servers, or its changes, if the requester's is older.
fn add_servers<C, H>(gateway: &Gateway<C, H>, request: &ViewRequest, update: &mut ViewUpdate) {
    let time = now();
    let servers = gateway.servers.lock();
    let known = StoreRevision::new(request.servers_era, request.servers_revision);
    if servers.revision() <= known {
        return;
    }
    let age_ms = servers.age(time).map_or(u64::MAX, millis);
    let changes = request
        .accepts_changes
        .then(|| servers.changes_since(time, known))
        .flatten();
    if let Some(changes) = changes {
        update.server_changes = Some(wire_server_changes(&changes, age_ms));
        return;
    }
    let listing = servers.listing(time);
    update.servers_era = listing.revision.era;
    update.servers_revision = listing.revision.revision;
    update.servers_age_ms = age_ms;
    update.servers = listing.servers.iter().map(server_record).collect();
}

/// Adds the list of instances, or its changes, if the requester's is older.
fn add_instances<C, H>(gateway: &Gateway<C, H>, request: &ViewRequest, update: &mut ViewUpdate) {
    let instances = gateway.instances.lock();
    let revision = instances.revision();
    if request.accepts_changes {
        let known = StoreRevision::new(request.instances_era, request.instances_revision);
        if revision <= known {
            return;
        }
        if let Some(changes) = instances.changes_since(known) {
            update.instance_changes = Some(wire_instance_changes(&changes));
            return;
        }
    }
    update.instances_era = revision.era;
    update.instances_revision = revision.revision;
    update.instances = instances.stored().map(instance_entry).collect();
}

/// Responds to a request for a newer view.
pub(crate) async fn respond_to_view_request<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    from: &InstanceId,
    request: &ViewRequest,
) {
    let receiver = gateway.instances.lock().get(&from.name).cloned();
    if let Some(receiver) = receiver {
        let update = newer_view(gateway, request);
        send_notice(gateway, &receiver, Notice::ViewUpdate(update)).await;
    }
}

/// Applies the newer parts of a view that another instance sent.
pub(crate) async fn apply_update<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    from: &InstanceId,
    update: &ViewUpdate,
) {
    let time = now();
    let source = from.name.as_str();
    if !update.configuration.is_empty() {
        gateway.install_configuration(update.configuration.clone(), source);
    }
    if !update.compressed_configuration.is_empty() {
        match decompress(&update.compressed_configuration) {
            Ok(document) => gateway.install_configuration(document, source),
            Err(error) => {
                slog::error!(gateway.log.rollout, "cannot decompress a configuration";
                    "source" => source, "error" => %error);
            }
        }
    }
    if update.operator_revision > 0 {
        let revision = StoreRevision::new(update.operator_era, update.operator_revision);
        let evacuated = update.evacuated.iter().map(|name| DomainName::new(name));
        gateway.apply_evacuated(revision, evacuated.collect(), source);
        // The revision covers the configuration as well, so it is confirmed only if this instance
        // has that version of it.
        if gateway.operators.lock().version() >= update.configuration_version {
            let read_at = time_before(time, update.operator_age_ms);
            gateway.operators.lock().confirm(revision, read_at);
        }
    }
    if update.servers_revision > 0 {
        let listing = ServerListing {
            revision: StoreRevision::new(update.servers_era, update.servers_revision),
            servers: update.servers.iter().filter_map(backend_entry).collect(),
        };
        gateway.apply_servers(time_before(time, update.servers_age_ms), &listing, source);
    }
    if let Some(changes) = &update.server_changes {
        let read_at = time_before(time, changes.age_ms);
        gateway.apply_server_changes(read_at, &server_changes(changes), source);
    }
    if !update.cold_servers.is_empty() {
        let mut servers = gateway.servers.lock();
        for record in &update.cold_servers {
            servers.apply_cold(time, &cold_server(record));
        }
    }
    if let Some(changes) = &update.instance_changes {
        gateway.apply_instance_changes(&instance_changes(changes), source);
    }
    if update.instances_revision > 0 {
        let listing = InstanceListing {
            revision: StoreRevision::new(update.instances_era, update.instances_revision),
            instances: update
                .instances
                .iter()
                .filter_map(listed_instance)
                .collect(),
        };
        gateway.apply_instances(None, listing, source);
    }
}

/// Sends a notice to each other instance of the region, without waiting for it.
pub(crate) fn send_to_region<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    notice: &Notice,
) {
    let receivers: Vec<ListedInstance> = {
        let instances = gateway.instances.lock();
        instances
            .status_receivers_in(now(), &gateway.settings.region)
            .filter(|instance| instance.id.name != gateway.id.name)
            .cloned()
            .collect()
    };
    for receiver in receivers {
        let (gateway, notice) = (gateway.clone(), notice.clone());
        tokio::spawn(async move { send_notice(&gateway, &receiver, notice).await });
    }
}

/// Sends a notice, and logs an error if the instance cannot be reached.
pub(crate) async fn send_notice<C: ControlPlane, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    receiver: &ListedInstance,
    notice: Notice,
) {
    let address = PeerAddress {
        name: receiver.id.name.clone(),
        address: receiver.peer_address,
        incarnation: None,
    };
    if let Err(error) = gateway.links.send(&address, notice).await {
        slog::debug!(gateway.log.links, "cannot send a notice to an instance";
            "to" => receiver.id.name.as_str(), "error" => %error);
    }
}
