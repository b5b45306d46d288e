//! Isolation between organisations: residency and hop checks of forwarded requests, API keys, and
//! private data.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::{Execution, Incarnation, InstanceId};
use hawthornquay_instances::{
    Forward, ForwardEvent, ForwardRefused, LinkPool, LocalInstance, PeerAddress, TlsIdentity,
};
use hawthornquay_standins::{AfterRun, ServiceFaults};
use http::{Method, StatusCode};
use serde_json::json;
use support::{
    Caller, FakeBackend, Fleet, FleetBuilder, LogBuffer, RawCaller, RelayFault, chat_body,
    wait_until,
};

const BOOKINGS: &str = "/v1/services/bookings";
const CHAT_PATH: &str = "/v1/chat/completions";
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Peer that has the TLS identity of an instance of the fleet and sends arbitrary forwards.
struct ForgingPeer {
    links: LinkPool,
    peer: PeerAddress,
}

impl ForgingPeer {
    fn new(fleet: &Fleet, receiver: usize) -> Self {
        let tls = &fleet.settings[0].tls;
        let read = |path: &std::path::Path| std::fs::read(path).unwrap();
        let identity = TlsIdentity::from_pem(
            &read(&tls.certificate),
            &read(&tls.key),
            &read(&tls.authority),
        );
        let id = InstanceId {
            name: "lagos-1".into(),
            incarnation: Incarnation(7),
        };
        let instance = &fleet.settings[receiver].instance;
        Self {
            links: LinkPool::new(LocalInstance::new(id, identity.unwrap())),
            peer: PeerAddress::new(instance.name.as_str(), instance.peers),
        }
    }

    /// Sends a forward and returns all events of its response.
    async fn events(&self, forward: Forward) -> Vec<ForwardEvent> {
        let mut stream = self
            .links
            .forward(&self.peer, forward, TIME_LIMIT)
            .await
            .unwrap();
        let mut events = Vec::new();
        while let Some(event) = stream.next().await {
            events.push(event.unwrap());
        }
        events
    }

    /// Sends a forward and returns the refusal.
    ///
    /// # Panics
    ///
    /// Panics if the response is anything but one refusal.
    async fn refusal(&self, forward: Forward) -> ForwardRefused {
        let description = format!("{forward:?}");
        let mut events = self.events(forward).await;
        match events.pop() {
            Some(ForwardEvent::Refused(refused)) if events.is_empty() => refused,
            last => panic!("expected only a refusal of {description}, got {events:?} and {last:?}"),
        }
    }
}

fn chat_forward() -> Forward {
    Forward {
        request_id: "lagos-1-0000000000000007-1".to_owned(),
        organisation: "kolanut".to_owned(),
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        hop_count: 1,
        bundle_version: 1,
        deadline_ms: 4_000,
        model: "ledger-7b".to_owned(),
        repeatable: true,
        prompt_tokens: 10,
        cost: 14,
        content_type: "application/json".to_owned(),
        body: chat_body("crafted", 4, false),
        ..Forward::default()
    }
}

fn booking_forward() -> Forward {
    Forward {
        path: BOOKINGS.to_owned(),
        model: String::new(),
        service: "bookings".to_owned(),
        repeatable: false,
        cost: 1,
        body: json!({"nonce": "crafted"}).to_string().into(),
        ..chat_forward()
    }
}

/// Guards against a receiver that trusts a faulty or outdated sender: it must refuse a second hop,
/// a region outside the residency, an unknown organisation, and a path of another target.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_forward_is_refused() {
    let fleet = FleetBuilder::default().start().await;
    let kano = ForgingPeer::new(&fleet, 2);
    let accepted = kano.events(chat_forward()).await;
    assert!(
        matches!(accepted.last(), Some(ForwardEvent::End(_))),
        "{accepted:?}"
    );
    let hops = |hop_count| Forward {
        hop_count,
        ..chat_forward()
    };
    let path = |path: &str, forward: Forward| Forward {
        path: path.to_owned(),
        ..forward
    };
    let cases = [
        (hops(0), "hop-refused"),
        (hops(2), "hop-refused"),
        (
            Forward {
                organisation: "homebound".to_owned(),
                ..chat_forward()
            },
            "residency-refused",
        ),
        (
            Forward {
                organisation: "nobody".to_owned(),
                ..chat_forward()
            },
            "stale-bundle",
        ),
        (
            Forward {
                model: String::new(),
                ..chat_forward()
            },
            "bad-request",
        ),
        (path("/orders", chat_forward()), "route-unknown"),
    ];
    for (forward, code) in cases {
        let refused = kano.refusal(forward).await;
        assert_eq!(refused.code, code);
        assert_eq!(refused.confirmed_execution(), Execution::NotRun);
    }
    let lagos = ForgingPeer::new(&fleet, 1);
    let accepted = lagos.events(booking_forward()).await;
    assert!(
        matches!(accepted.last(), Some(ForwardEvent::End(_))),
        "{accepted:?}"
    );
    let runs = fleet.service.runs();
    let other_service = Forward {
        service: "others".to_owned(),
        ..booking_forward()
    };
    for forward in [
        path("/admin/faults", booking_forward()),
        path("/v1/services/unknown", booking_forward()),
        other_service,
        path(BOOKINGS, chat_forward()),
    ] {
        let refused = lagos.refusal(forward).await;
        assert_eq!(refused.code, "route-unknown");
        assert_eq!(refused.confirmed_execution(), Execution::NotRun);
    }
    assert_eq!(fleet.service.runs(), runs);
}

/// Guards against a second run of a forwarded call that is repeatable only in the bundle of the
/// sender.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_call_repeatable_only_for_the_sender_runs_once() {
    let fleet = FleetBuilder::default()
        .extra_services(&["lagos-a", "lagos-a"])
        .start()
        .await;
    let services = [&fleet.service].into_iter().chain(&fleet.extra_services);
    services.for_each(|service| {
        service.set_faults(ServiceFaults {
            after_run: AfterRun::Break,
            ..ServiceFaults::default()
        });
    });
    let sender = ForgingPeer::new(&fleet, 1);
    let booking = Forward {
        repeatable: true,
        ..booking_forward()
    };
    let refused = sender.refusal(booking).await;
    assert_eq!(refused.confirmed_execution(), Execution::Unknown);
    assert_eq!(fleet.runs().into_values().sum::<u64>(), 1);
    // On a route that is repeatable in the bundle of the receiver, the call is retried at another
    // server.
    let lookup = Forward {
        request_id: "lagos-1-0000000000000007-2".to_owned(),
        path: "/v1/services/lookups".to_owned(),
        repeatable: true,
        ..booking_forward()
    };
    sender.refusal(lookup).await;
    assert!(fleet.runs()["lagos-1-0000000000000007-2"] > 1);
}

/// Guards against forwarding an API key, or a header that may contain one, to a backend server.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_receives_no_api_key() {
    let mut fakes = Vec::new();
    let mut sections = String::new();
    for domain in ["lagos-a", "kano-a"] {
        let [service, engine] = [FakeBackend::start().await, FakeBackend::start().await];
        sections += &format!(
            "[backend fake-{domain}]\nkind = plain-service\naddress = {}\ndomain = {domain}\n\
             service = fake\n[backend fake-engine-{domain}]\nkind = model-engine\naddress = {}\n\
             domain = {domain}\nmodels = fake-1b\nfencing = no\n",
            service.address, engine.address,
        );
        fakes.extend([service, engine]);
    }
    sections += "[route /v1/services/fake]\nservice = fake\nrepeatable = no\n";
    let fleet = FleetBuilder::default()
        .extra_sections(&sections)
        .start()
        .await;
    let caller = Caller::new(Some("key-kolanut"));
    let headers = [
        ("cookie", "session=key-kolanut"),
        ("x-api-key", "key-kolanut"),
        ("proxy-authorization", "Bearer key-kolanut"),
        ("idempotency-key", "secret-idempotency-key"),
        ("x-forwarded-authorization", "key-kolanut"),
        ("content-type", "application/json"),
    ];
    let chat = String::from_utf8(chat_body("n", 4, false).to_vec()).unwrap();
    let chat = chat.replace("ledger-7b", "fake-1b");
    for instance in 0..3 {
        let to = fleet.callers(instance);
        let headers = headers.map(|(name, value)| match name {
            "idempotency-key" => (name, format!("{value}-{instance}")),
            _ => (name, value.to_owned()),
        });
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let response = caller
            .call(to, Method::POST, "/v1/services/fake", &headers, "{}")
            .await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        let response = caller
            .call(to, Method::POST, CHAT_PATH, &headers, chat.clone())
            .await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    let requests: Vec<String> = fakes.iter().flat_map(FakeBackend::requests).collect();
    assert!(
        requests
            .iter()
            .filter(|text| text.starts_with("POST"))
            .count()
            >= 6
    );
    for text in &requests {
        assert!(!text.contains("key-kolanut"), "{text}");
        assert!(!text.contains("secret-idempotency-key"), "{text}");
        assert!(
            !text.to_ascii_lowercase().contains("authorization"),
            "{text}"
        );
    }
}

/// Guards against reading a request body before the API key and the residency have been checked.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_precedes_reading_the_body() {
    let fleet = FleetBuilder::default()
        .require_idempotency_key()
        .start()
        .await;
    let cases = [
        (
            0,
            "/v1/chat/completions",
            "key-unknown",
            401,
            "key-rejected",
        ),
        (0, BOOKINGS, "key-unknown", 401, "key-rejected"),
        (
            2,
            "/v1/chat/completions",
            "key-homebound",
            421,
            "residency-refused",
        ),
        (2, BOOKINGS, "key-homebound", 421, "residency-refused"),
        (0, BOOKINGS, "key-kolanut", 400, "idempotency-key-required"),
        (0, "/v1/nothing", "key-kolanut", 404, "route-unknown"),
        (
            0,
            "/v1/chat/completions",
            "key-kolanut",
            413,
            "body-too-large",
        ),
    ];
    for (instance, path, key, status, code) in cases {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
             content-length: 9000000\r\n\r\n"
        );
        let response = RawCaller::exchange(fleet.callers(instance), head.as_bytes(), false).await;
        assert_eq!(
            (response.status, response.code().as_str()),
            (status, code),
            "{path} {key}"
        );
        assert_eq!(response.execution(), "not-run");
    }
}

/// Guards against request bodies, responses, API keys and organisations in log lines, metrics,
/// store values and directory entries, which may leave the regions of the residency.
#[tokio::test(flavor = "multi_thread")]
async fn private_data_is_not_logged_or_stored() {
    let logs = LogBuffer::default();
    let mut fleet = FleetBuilder::default().logs(&logs).start().await;
    for key in ["key-kolanut", "key-homebound"] {
        let caller = Caller::new(Some(key));
        for instance in 0..3 {
            let to = fleet.callers(instance);
            caller.chat(to, "privatenonce", 6, true).await;
            caller
                .book(to, Some("privateidempotency"), "privatenonce")
                .await;
            let body = "{\"privatebody\": nonsense";
            caller.call(to, Method::POST, CHAT_PATH, &[], body).await;
        }
    }
    fleet.service.set_faults(ServiceFaults {
        after_run: AfterRun::Break,
        ..ServiceFaults::default()
    });
    let caller = Caller::new(Some("key-kolanut"));
    for instance in 0..3 {
        caller
            .book(fleet.callers(instance), None, "privatenonce")
            .await;
    }
    let private_texts = [
        "privatenonce",
        "privateidempotency",
        "privatebody",
        "key-kolanut",
        "key-homebound",
    ];
    let mut outputs = Vec::new();
    for index in 0..3 {
        let response = Caller::new(None)
            .get(fleet.operators(index), "/metrics")
            .await;
        outputs.push((format!("metrics of {index}"), response.text()));
    }
    assert!(
        outputs[0].1.contains("hawthornquay_requests_total"),
        "{}",
        outputs[0].1
    );
    for index in 0..3 {
        fleet.stop_instance(index).await;
    }
    // A separate thread writes the log lines, in order.
    wait_until(TIME_LIMIT, "last log lines", || {
        logs.text().matches("stopped").count() == 3
    })
    .await;
    assert!(logs.text().contains("call failed"), "{}", logs.text());
    outputs.push(("log".to_owned(), logs.text()));
    for (output, text) in &outputs {
        for word in private_texts.iter().chain(&["kolanut", "homebound"]) {
            assert!(!text.contains(word), "{word} is in the {output}: {text}");
        }
    }
    let listing = fleet.store_client.list("").await.unwrap();
    assert!(
        listing
            .entries
            .iter()
            .any(|entry| entry.key.starts_with("claims/"))
    );
    for entry in listing.entries {
        let text = String::from_utf8_lossy(&entry.value).into_owned();
        for word in private_texts {
            assert!(!text.contains(word), "{word} is in {}", entry.key);
        }
        if entry.key.starts_with("claims/") || entry.key.starts_with("limits/") {
            assert!(!text.contains("kolanut"), "{}: {text}", entry.key);
        }
    }
}

/// Guards against a caller that gets the response to a former request: a server sends a second copy
/// of it, late, on a connection that is in use again.
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_of_response_is_not_taken_for_next_response() {
    let fleet = FleetBuilder::default().fault_relays().start().await;
    for relay in &fleet.service_relays {
        relay.set_fault(RelayFault::RepeatResponse);
    }
    let caller = Caller::new(Some("key-kolanut"));
    for n in 0..20 {
        let nonce = format!("lookup-{n}-end");
        let body = Bytes::from(json!({"nonce": nonce}).to_string());
        let response = caller
            .call(
                fleet.callers(0),
                Method::POST,
                "/v1/services/lookups",
                &[],
                body,
            )
            .await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        assert!(
            response.text().contains(&nonce),
            "{nonce}: {}",
            response.text()
        );
    }
}
