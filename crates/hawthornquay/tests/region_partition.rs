//! Region that is cut off from the store and from the other regions.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use support::{Caller, Fleet, FleetBuilder, now, wait_until};
use tokio::{task::JoinSet, time::Instant};

const KANO: [usize; 3] = [6, 7, 8];
const KANO_ENGINE: usize = 2;

/// Waits until an instance suspects all members of other regions.
async fn wait_suspicion(fleet: &Fleet, index: usize) {
    wait_until(Duration::from_secs(15), "suspicion of the others", || {
        let members = fleet.node(index).members.lock();
        let region = &fleet.settings[index].instance.region;
        members
            .others()
            .filter(|member| member.record.region != *region)
            .all(|member| {
                members.state_of(member, now()) == hawthornquay_decisions::MemberState::Suspect
            })
    })
    .await;
}

/// Guards against a cut-off region that refuses its own callers, admits unknown keys, or gives a
/// claim that it cannot check.
#[tokio::test(flavor = "multi_thread")]
async fn cut_region_serves_its_callers_and_refuses_what_it_cannot_know() {
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
            let answer = caller.chat(to, "own", 8, true).await;
            assert_eq!(answer.status, StatusCode::OK, "{round}: {}", answer.text());
            assert!(answer.text().contains("own"), "{round}: {}", answer.text());
            let unknown = Caller::new(Some("key-unknown"))
                .chat(to, "n", 4, false)
                .await;
            assert_eq!(unknown.status, StatusCode::UNAUTHORIZED, "{round}");
            assert_eq!(unknown.execution(), "not-run", "{round}");

            let issued = caller
                .call(to, Method::POST, "/v1/idempotency-keys", &[], Bytes::new())
                .await
                .json();
            let key = issued["idempotency_key"]
                .as_str()
                .expect("an issued key")
                .to_owned();
            let booked = caller.book(to, Some(&key), "b").await;
            assert_eq!(booked.status, StatusCode::OK, "{round}: {}", booked.text());
            let again = caller.book(to, Some(&key), "b").await;
            assert_eq!(again.execution(), "ran", "{round}: {}", again.text());
            assert_eq!(fleet.service.runs().get(&booked.request_id()), Some(&1));

            let own_key = format!("own-{round}-{instance}").replace(' ', "-");
            let refused = caller.book(to, Some(&own_key), "b").await;
            assert_eq!(refused.code(), "claim-store-unreachable", "{round}");
            assert_eq!(refused.execution(), "not-run", "{round}");
            assert_eq!(fleet.service.runs().get(&refused.request_id()), None);
        }
        wait_suspicion(&fleet, 6).await;
    }
}

/// Guards against a `not-run` that is false: a booking that enters the cut on its way to its server
/// must not run later.
#[tokio::test(flavor = "multi_thread")]
async fn request_into_the_cut_is_answered_truthfully() {
    let fleet = FleetBuilder::default()
        .three_regions()
        .service_domain("kano-a")
        .start()
        .await;
    let caller = Caller::new(Some("key-kolanut"));
    let warm = caller.book(fleet.callers(0), None, "w").await;
    assert_eq!(warm.status, StatusCode::OK, "{}", warm.text());
    fleet.network.set_partitioned("kano", true);
    let mut calls = JoinSet::new();
    for instance in 0..6 {
        for _ in 0..3 {
            let (caller, to) = (caller.clone(), fleet.callers(instance));
            calls.spawn(async move { caller.book(to, None, "c").await });
        }
    }
    let answers = calls.join_all().await;
    fleet.network.set_partitioned("kano", false);
    let runs_again = Instant::now() + Duration::from_secs(10);
    while caller.book(fleet.callers(0), None, "h").await.status != StatusCode::OK {
        assert!(Instant::now() < runs_again, "no booking after the heal");
    }
    let runs = fleet.service.runs();
    let mut unknown = 0;
    for answer in answers {
        let count = runs.get(&answer.request_id()).copied().unwrap_or(0);
        assert_ne!(answer.status, StatusCode::OK, "answered through the cut");
        match answer.execution().as_str() {
            "not-run" => assert_eq!(count, 0, "{}", answer.text()),
            "unknown" => unknown += 1,
            other => panic!("execution {other}: {}", answer.text()),
        }
        assert!(count <= 1);
    }
    println!("unknown {unknown} of 18");
}

/// Guards against a cut-off region that spends more than its part of a limit, or much less.
#[tokio::test(flavor = "multi_thread")]
async fn cut_region_spends_its_part_of_the_limit() {
    const RATE: u64 = 1_500;
    let fleet = FleetBuilder::default()
        .three_regions()
        .limit(RATE, RATE)
        .start()
        .await;
    fleet.network.set_partitioned("kano", true);
    wait_suspicion(&fleet, 6).await;
    let began = Instant::now();
    let before = fleet.engines[KANO_ENGINE].counters().generated_tokens;
    let press = Duration::from_secs(6);
    let mut callers = JoinSet::new();
    for instance in KANO {
        for _ in 0..4 {
            let to = fleet.callers(instance);
            callers.spawn(async move {
                let caller = Caller::new(Some("key-kolanut"));
                while began.elapsed() < press {
                    caller.chat(to, "n", 40, false).await;
                }
            });
        }
    }
    callers.join_all().await;
    let spent = fleet.engines[KANO_ENGINE].counters().generated_tokens - before;
    let part = RATE as f64 / 3.0;
    let most = part * (1.0 + began.elapsed().as_secs_f64());
    println!("spent {spent} of at most {most:.0}");
    assert!(spent as f64 <= most, "spent {spent} of {most}");
    // Each request also pays for its prompt of about 10 tokens.
    assert!(spent as f64 >= most / 2.0, "spent {spent} of {most}");
}
