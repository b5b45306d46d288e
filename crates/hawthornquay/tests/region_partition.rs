//! Region partitioned from the store and from the other regions.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use support::{Caller, Fleet, FleetBuilder, now, wait_until};
use tokio::{task::JoinSet, time::Instant};

const KANO: [usize; 3] = [6, 7, 8];
const KANO_ENGINE: usize = 2;

/// Waits until an instance suspects all members of other regions.
async fn wait_until_others_suspected(fleet: &Fleet, index: usize) {
    wait_until(
        Duration::from_secs(15),
        "suspicion of all members of other regions",
        || {
            let members = fleet.node(index).members.lock();
            let region = &fleet.settings[index].instance.region;
            members
                .others()
                .filter(|member| member.record.region != *region)
                .all(|member| {
                    members.state_of(member, now()) == hawthornquay_decisions::MemberState::Suspect
                })
        },
    )
    .await;
}

/// Guards against a partitioned region that refuses its own callers, admits unknown API keys, or
/// grants claims that it cannot verify in the store.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_region_serves_callers_and_refuses_unverifiable_claims() {
    let fleet = FleetBuilder::default()
        .three_regions()
        .service_domain("kano-a")
        .start()
        .await;
    fleet.network.set_partitioned("kano", true);
    let caller = Caller::new(Some("key-kolanut"));
    for round in ["at once", "after suspicion"] {
        for instance in KANO {
            let to = fleet.callers(instance);
            let response = caller.chat(to, "own", 8, true).await;
            assert_eq!(
                response.status,
                StatusCode::OK,
                "{round}: {}",
                response.text()
            );
            assert!(
                response.text().contains("own"),
                "{round}: {}",
                response.text()
            );
            let unknown = Caller::new(Some("key-unknown"))
                .chat(to, "n", 4, false)
                .await;
            assert_eq!(unknown.status, StatusCode::UNAUTHORIZED, "{round}");
            assert_eq!(unknown.execution(), "not-run", "{round}");

            let issued_key = caller
                .call(to, Method::POST, "/v1/idempotency-keys", &[], Bytes::new())
                .await
                .json();
            let key = issued_key["idempotency_key"]
                .as_str()
                .expect("issued idempotency key")
                .to_owned();
            let booked = caller.book(to, Some(&key), "b").await;
            assert_eq!(booked.status, StatusCode::OK, "{round}: {}", booked.text());
            let again = caller.book(to, Some(&key), "b").await;
            assert_eq!(again.execution(), "ran", "{round}: {}", again.text());
            assert_eq!(fleet.service.runs().get(&booked.request_id()), Some(&1));

            let caller_key = format!("own-{round}-{instance}").replace(' ', "-");
            let refused = caller.book(to, Some(&caller_key), "b").await;
            assert_eq!(refused.code(), "claim-store-unreachable", "{round}");
            assert_eq!(refused.execution(), "not-run", "{round}");
            assert_eq!(fleet.service.runs().get(&refused.request_id()), None);
        }
        wait_until_others_suspected(&fleet, 6).await;
    }
}

/// Guards against a wrong `not-run`: a booking forwarded into the partition must not run after the
/// partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn request_into_a_partition_reports_correct_execution() {
    let fleet = FleetBuilder::default()
        .three_regions()
        .service_domain("kano-a")
        .start()
        .await;
    let caller = Caller::new(Some("key-kolanut"));
    let warm_up = caller.book(fleet.callers(0), None, "w").await;
    assert_eq!(warm_up.status, StatusCode::OK, "{}", warm_up.text());
    fleet.network.set_partitioned("kano", true);
    let mut calls = JoinSet::new();
    for instance in 0..6 {
        for _ in 0..3 {
            let (caller, to) = (caller.clone(), fleet.callers(instance));
            calls.spawn(async move { caller.book(to, None, "c").await });
        }
    }
    let responses = calls.join_all().await;
    fleet.network.set_partitioned("kano", false);
    let deadline = Instant::now() + Duration::from_secs(10);
    while caller.book(fleet.callers(0), None, "h").await.status != StatusCode::OK {
        assert!(
            Instant::now() < deadline,
            "no booking succeeded within 10 s of the heal"
        );
    }
    let runs = fleet.service.runs();
    let mut unknown = 0;
    for response in responses {
        let count = runs.get(&response.request_id()).copied().unwrap_or(0);
        assert_ne!(
            response.status,
            StatusCode::OK,
            "success across the partition"
        );
        match response.execution().as_str() {
            "not-run" => assert_eq!(count, 0, "{}", response.text()),
            "unknown" => unknown += 1,
            other => panic!("execution {other}: {}", response.text()),
        }
        assert!(count <= 1);
    }
    println!("unknown {unknown} of 18");
}

/// Guards against a partitioned region that spends more than its share of a limit, or less than
/// half of it.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_region_spends_its_share_of_the_limit() {
    const RATE: u64 = 1_500;
    let fleet = FleetBuilder::default()
        .three_regions()
        .limit(RATE, RATE)
        .start()
        .await;
    fleet.network.set_partitioned("kano", true);
    wait_until_others_suspected(&fleet, 6).await;
    let started = Instant::now();
    let before = fleet.engines[KANO_ENGINE].counters().generated_tokens;
    let overload_time = Duration::from_secs(6);
    let mut callers = JoinSet::new();
    for instance in KANO {
        for _ in 0..4 {
            let to = fleet.callers(instance);
            callers.spawn(async move {
                let caller = Caller::new(Some("key-kolanut"));
                while started.elapsed() < overload_time {
                    caller.chat(to, "n", 40, false).await;
                }
            });
        }
    }
    callers.join_all().await;
    let spent = fleet.engines[KANO_ENGINE].counters().generated_tokens - before;
    let share = RATE as f64 / 3.0;
    let allowed = share * (1.0 + started.elapsed().as_secs_f64());
    println!("spent {spent} of at most {allowed:.0}");
    assert!(spent as f64 <= allowed, "spent {spent} of {allowed} tokens");
    // The lower bound is half of the share, because each request also pays for its prompt of about
    // 10 tokens.
    assert!(
        spent as f64 >= allowed / 2.0,
        "spent {spent} of {allowed} tokens"
    );
}
