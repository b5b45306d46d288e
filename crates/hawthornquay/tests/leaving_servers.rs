//! Propagation of the leaving state of a backend server through a large failure domain.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{LoadKey, LoadState};
use hawthornquay_standins::EngineFaults;
use support::{Fleet, FleetBuilder, wait_until};
use tokio::time::Instant;

/// Instances in one failure domain, as in the target deployment.
const INSTANCES: usize = 35;

/// Target for the time from when a server begins to leave until no instance of the domain sends it
/// new requests.
const PROPAGATION_TARGET: Duration = Duration::from_secs(2);

/// Returns the number of instances of the domain that consider the engine as leaving.
fn informed_instances(fleet: &Fleet) -> usize {
    let key = LoadKey::Backend("engine-1".into());
    let instances = 0..fleet.settings.len();
    instances
        .filter(|index| fleet.settings[*index].instance.domain.as_str() == "lagos-a")
        .filter(|index| {
            let node = fleet.node(*index);
            let routing = node.routing.lock();
            routing.view.state(&key, node.started_at) == LoadState::Leaving
        })
        .count()
}

/// Guards against new requests to a leaving server: if its state travels only in the digests of
/// each second, it reaches all instances of a large domain later than the target allows.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_state_reaches_whole_domain_within_target() {
    let fleet = FleetBuilder::default()
        .extra_instances("lagos-a", INSTANCES - 2)
        .start()
        .await;
    let views_complete = || {
        (0..fleet.settings.len()).all(|index| {
            let members = fleet.node(index).members.lock();
            members
                .others()
                .filter(|member| member.incarnation.is_some())
                .count()
                >= INSTANCES
        })
    };
    wait_until(
        Duration::from_secs(60),
        "complete member view",
        views_complete,
    )
    .await;
    assert_eq!(informed_instances(&fleet), 0);
    fleet.engines[0].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let since = Instant::now();
    wait_until(
        Duration::from_secs(30),
        "leaving state at each instance",
        || informed_instances(&fleet) == INSTANCES,
    )
    .await;
    let elapsed = since.elapsed();
    println!("leaving state known at {INSTANCES} instances after {elapsed:?}");
    assert!(elapsed < PROPAGATION_TARGET, "{elapsed:?}");
}
