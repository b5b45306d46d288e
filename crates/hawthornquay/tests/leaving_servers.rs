//! Backend servers that begin to leave, seen by a large failure domain.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{LoadKey, LoadState};
use hawthornquay_standins::EngineFaults;
use support::{Fleet, FleetBuilder, wait_until};
use tokio::time::Instant;

/// Instances of the target in one failure domain.
const INSTANCES: usize = 35;

/// Target from the first sign until no instance of the domain sends new work.
const TARGET: Duration = Duration::from_secs(2);

/// Returns how many instances of the domain know that the engine is leaving.
fn knowing(fleet: &Fleet) -> usize {
    let key = LoadKey::Backend("engine-1".into());
    let instances = 0..fleet.settings.len();
    instances
        .filter(|index| fleet.settings[*index].instance.domain.as_str() == "lagos-a")
        .filter(|index| {
            let node = fleet.node(*index);
            let routing = node.routing.lock();
            routing.view.state(&key, node.started) == LoadState::Leaving
        })
        .count()
}

/// Guards against a leaving server that gets new work because digests of each second need longer
/// than the target to reach all instances of a large domain.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_is_known_in_the_whole_domain_in_time() {
    let fleet = FleetBuilder::default()
        .extra_instances("lagos-a", INSTANCES - 2)
        .start()
        .await;
    let all_live = || {
        (0..fleet.settings.len()).all(|index| {
            let members = fleet.node(index).members.lock();
            members
                .others()
                .filter(|member| member.incarnation.is_some())
                .count()
                >= INSTANCES
        })
    };
    wait_until(Duration::from_secs(60), "complete member view", all_live).await;
    assert_eq!(knowing(&fleet), 0);
    fleet.engines[0].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let since = Instant::now();
    wait_until(
        Duration::from_secs(30),
        "leaving server at each instance",
        || knowing(&fleet) == INSTANCES,
    )
    .await;
    let took = since.elapsed();
    println!("leaving server known to {INSTANCES} instances after {took:?}");
    assert!(took < TARGET, "{took:?}");
}
