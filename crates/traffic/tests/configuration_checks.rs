//! Checks of a configuration before it is put in force.

use std::time::Duration;

use hawthornquay_decisions::{OrganisationId, RegionName, ServiceName};
use hawthornquay_traffic::{
    ConfigurationDocument, EngineConfig, ExecutionSemantics, OrganisationConfig, OrganisationEntry,
    Route, ServiceConfig, check_configuration, check_successor, configuration_changes,
};

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        semantics: ExecutionSemantics::AtMostOnce,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(300),
        max_attempts: 1,
        priority: 0,
        services: vec![(ServiceName::from("app"), 1)],
        open: false,
        home_regions: Vec::new(),
    }
}

fn service(name: &str) -> (ServiceName, ServiceConfig) {
    let config = ServiceConfig {
        max_connections: 100,
        cold_duration: Duration::ZERO,
        cold_requests_per_s: 0.0,
        health_path: Some("/healthz".to_owned()),
        engine: None,
    };
    (name.into(), config)
}

fn organisation(id: &str, key: &str) -> OrganisationEntry {
    OrganisationEntry {
        id: OrganisationId::from(id),
        keys: vec![key.to_owned()],
        config: OrganisationConfig {
            rate: 1_000,
            burst: 500,
            default_request_tokens: 200,
            priority: None,
            home_regions: Vec::new(),
        },
    }
}

fn document() -> ConfigurationDocument {
    ConfigurationDocument {
        version: 3,
        routes: vec![route("one"), route("two")],
        services: vec![service("app")],
        organisations: vec![
            organisation("o1", "secret-1"),
            organisation("o2", "secret-2"),
        ],
        ..ConfigurationDocument::default()
    }
}

fn findings(document: &ConfigurationDocument) -> Vec<String> {
    let findings = check_configuration(document);
    findings.iter().map(ToString::to_string).collect()
}

/// Change of a valid configuration, and the findings that it causes.
type Case = (fn(&mut ConfigurationDocument), &'static [&'static str]);

fn assert_cases(cases: &[Case]) {
    for (number, (change, expected)) in cases.iter().enumerate() {
        let mut document = document();
        change(&mut document);
        assert_eq!(findings(&document), *expected, "case {number}");
    }
}

/// Guards against findings in a configuration that is in order, in particular for a route whose
/// prefix begins like that of another one: it still gets the other paths.
#[test]
fn check_configuration_valid_document_has_no_findings() {
    assert_cases(&[
        (|_| (), &[]),
        (
            |document| document.routes[1].prefix = "/one/more/".into(),
            &[],
        ),
        (|document| document.routes[1].prefix = "/".into(), &[]),
        (|document| document.routes[1].host = "b.example".into(), &[]),
        (|document| document.organisations[0].config.burst = 200, &[]),
        (
            |document| document.routes[0].timeout = Duration::from_millis(300),
            &[],
        ),
        (
            |document| {
                document.organisations[0].config.home_regions = vec![RegionName::from("north")];
                document.routes[0].home_regions = vec!["north".into(), "south".into()];
            },
            &[],
        ),
    ]);
}

/// Guards against entries that never apply, or replace others, without a finding.
#[test]
fn check_configuration_entries_that_cannot_match_are_found() {
    assert_cases(&[
        (
            |document| document.routes[1].prefix = "/one/".into(),
            &["unused: route `two`: route `one` has the same host and prefix and comes first"],
        ),
        (
            |document| document.routes[1].name = "one".into(),
            &["error: route `one`: another route has the same name"],
        ),
        (
            |document| document.routes[0].prefix = "/one".into(),
            &["unused: route `one`: the prefix `/one` does not begin and end with a slash"],
        ),
        (
            |document| document.routes[0].prefix = "/one/?x/".into(),
            &["unused: route `one`: no path begins with `/one/?x/`, which has more than a path"],
        ),
        (
            |document| document.routes[0].host = "a.example:80".into(),
            &["unused: route `one`: no request has the host `a.example:80`"],
        ),
        (
            |document| document.services.push(service("old")),
            &["unused: service `old`: no route leads to it"],
        ),
        (
            |document| document.services.push(service("app")),
            &["error: service `app`: another service has the same name; the last counts"],
        ),
        (
            |document| document.routes[0].services = vec![("app".into(), 1), ("new".into(), 0)],
            &[
                "unused: route `one`: the service `new` has the weight zero",
                "error: route `one`: the service `new` is not defined",
            ],
        ),
        (
            |document| document.routes[0].services.clear(),
            &["error: route `one`: it has no service with a weight above zero"],
        ),
        (
            |document| document.organisations[1].keys.clear(),
            &["unused: organisation `o2`: it has no keys"],
        ),
        (
            |document| document.organisations[1].keys.push(String::new()),
            &["unused: organisation `o2`: one of its keys is empty"],
        ),
        (
            |document| document.organisations[1].keys.push("secret-1".into()),
            &[
                "error: organisation `o2`: `o1` holds one of its keys too; the last organisation \
               counts",
            ],
        ),
        (
            |document| document.organisations[1].id = "o1".into(),
            &["error: organisation `o1`: another organisation has the same name; the last counts"],
        ),
        (
            |document| {
                document.routes.clear();
                document.services.clear();
            },
            &["error: routes: there are none"],
        ),
    ]);
}

/// Guards against limits that contradict each other without a finding.
#[test]
fn check_configuration_contradicting_limits_are_found() {
    assert_cases(&[
        (
            |document| document.routes[0].timeout = Duration::from_millis(200),
            &[
                "contradiction: route `one`: the time-out of 200ms is below the target latency of \
               300ms",
            ],
        ),
        (
            |document| {
                document.routes[0].semantics = ExecutionSemantics::Stream {
                    resumable: true,
                    target_event_gap: Duration::from_secs(4),
                };
            },
            &[
                "contradiction: route `one`: the time-out of 3s is below the target gap between \
               events of 4s",
            ],
        ),
        (
            |document| document.organisations[0].config.burst = 199,
            &[
                "contradiction: organisation `o1`: the burst of 199 tokens is below the 200 of a \
               default request",
            ],
        ),
        (
            |document| document.organisations[0].config.rate = 0,
            &["contradiction: organisation `o1`: it has a burst, but no rate, and so no limit"],
        ),
        (
            |document| document.limits.max_body_bytes = 16_000,
            &[
                "contradiction: limits: the header size of 16384 bytes is above the body size of \
               16000 bytes",
            ],
        ),
        (
            |document| document.limits.idle_timeout = Duration::from_secs(2),
            &["contradiction: limits: the header time-out of 3s is above the idle time-out of 2s"],
        ),
        (
            |document| document.limits.header_timeout = Duration::ZERO,
            &["error: limits: the header time-out is zero"],
        ),
        (
            |document| document.services[0].1.cold_requests_per_s = 4.0,
            &[
                "contradiction: service `app`: cold servers accept 4 requests per second, but no \
               server is cold",
            ],
        ),
        (
            |document| document.services[0].1.cold_duration = Duration::from_secs(9),
            &[
                "contradiction: service `app`: servers are cold for 9s, but accept any number of \
               requests",
            ],
        ),
        (
            |document| {
                document.services[0].1.engine = Some(EngineConfig {
                    slots: 0,
                    kv_capacity_tokens: 1,
                });
            },
            &["error: service `app`: its engines have no slots"],
        ),
        (
            |document| {
                document.organisations[0].config.home_regions = vec!["north".into()];
                document.routes[0].home_regions = vec!["south".into()];
            },
            &[
                "contradiction: organisation `o1`: route `one` may not run in any of its home \
               regions",
            ],
        ),
        (
            |document| {
                document.organisations.clear();
                document.routes[1].open = true;
            },
            &[
                "contradiction: route `one`: it is not public, but without organisations it accepts \
               requests without a key",
            ],
        ),
    ]);
}

/// Guards against differences that are not shown, and against keys in the output.
#[test]
fn configuration_changes_show_fields_but_no_keys() {
    let (old, mut new) = (document(), document());
    assert_eq!(configuration_changes(&old, &new), Vec::<String>::new());
    new.version = 4;
    new.limits.max_body_bytes = 1;
    new.routes[0].timeout = Duration::from_secs(2);
    new.routes[1].name = "three".into();
    new.services[0].1.health_path = None;
    new.organisations[0].config.rate = 5;
    new.organisations[1].keys = vec!["secret-3".into(), "secret-4".into()];
    let expected = [
        "~ configuration: version: 3 -> 4",
        "~ limits: body bytes: 4194304 -> 1",
        "- route `two`",
        "~ organisation `o1`: rate: 1000 -> 5",
        "~ route `one`: time-out: 3s -> 2s",
        "+ route `three`",
        "~ service `app`: health check: Some(\"/healthz\") -> None",
        "~ organisation `o2`: keys: 2 added, 1 removed",
    ];
    assert_eq!(configuration_changes(&old, &new), expected);
    // A key that another organisation holds is named by the organisations only.
    new.organisations[0].keys.push("secret-3".into());
    let all = [findings(&new), configuration_changes(&old, &new)].concat();
    assert!(all.iter().all(|line| !line.contains("secret")), "{all:?}");
}

/// Guards against a change whose version is not raised: it would be indistinguishable from the one
/// in force.
#[test]
fn check_successor_version_has_to_rise() {
    let old = document();
    for (version, changes, expected) in [
        (3, false, false),
        (3, true, true),
        (2, true, true),
        (4, true, false),
    ] {
        let mut new = document();
        new.version = version;
        if changes {
            new.routes.remove(1);
        }
        let found = check_successor(&old, &new).is_some();
        assert_eq!(found, expected, "version {version}, changed {changes}");
    }
}
